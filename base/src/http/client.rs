use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, client::conn::http1};

use super::HttpResponse;
use crate::runtime::{Env, TaskGuard};

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Not a byte of it left.
    #[error("not sent")]
    NotSent,
    /// It may have been taken.
    #[error("sent, but not answered")]
    OutcomeUnknown,
}

/// One HTTP connection to a server or peer, one call at a time. It makes each call once; whether to make it again is its
/// caller's to decide. A connection with an answer still owed is closed and never carries another call.
pub struct Client {
    env: Env,
    send: http1::SendRequest<Full<Bytes>>,
    most: usize,
    /// The task that carries the connection; taken away, it closes.
    job: Option<TaskGuard>,
}

impl Client {
    /// Connects within `span`; answers may be up to `most` bytes.
    pub async fn connect(env: &Env, addr: SocketAddr, span: Duration, most: usize) -> Result<Self, CallError> {
        let io = env.connect(addr, span).await.map_err(|_| CallError::NotSent)?;
        let (send, conn) = http1::handshake(io).await.map_err(|_| CallError::NotSent)?;
        let job = env.spawn(async move {
            let _ = conn.await;
        });
        Ok(Self { env: env.clone(), send, most, job: Some(job) })
    }

    /// Whether the connection can still carry a call.
    pub fn is_open(&self) -> bool {
        self.job.is_some() && !self.send.is_closed()
    }

    /// Sends one request and waits up to `span` for its whole answer.
    pub async fn call(
        &mut self,
        method: &str,
        path: &str,
        head: &[(&str, String)],
        body: Bytes,
        span: Duration,
    ) -> Result<HttpResponse, CallError> {
        // Held here for as long as the answer is owed: on a time-out, a fault, or when this call is dropped, it ends.
        let job = self.job.take().ok_or(CallError::NotSent)?;
        let end = self.env.now() + span;
        if !matches!(self.env.timeout(span, self.send.ready()).await, Ok(Ok(()))) {
            return Err(CallError::NotSent);
        }
        let mut req = Request::builder().method(method).uri(path).header("host", "portspoke");
        for (n, v) in head {
            req = req.header(*n, v);
        }
        let req = req.body(Full::new(body)).map_err(|_| CallError::NotSent)?;
        let most = self.most;
        let send = &mut self.send;
        let work = async move {
            let res = match send.try_send_request(req).await {
                Ok(r) => r,
                Err(mut e) => {
                    return Err(if e.take_message().is_some() {
                        CallError::NotSent
                    } else {
                        CallError::OutcomeUnknown
                    });
                }
            };
            let (head, body) = res.into_parts();
            let body = Limited::new(body, most).collect().await.map_err(|_| CallError::OutcomeUnknown)?.to_bytes();
            let list = head.headers.iter();
            let list = list.filter_map(|(n, v)| Some((n.as_str().to_string(), v.to_str().ok()?.to_string())));
            let close = head.headers.get("connection").is_some_and(|v| v.as_bytes() == b"close");
            Ok(HttpResponse { status: head.status.as_u16(), headers: list.collect(), body, close })
        };
        let left = end.saturating_sub(self.env.now());
        let out = self.env.timeout(left, work).await.map_err(|_| CallError::OutcomeUnknown)??;
        self.job = (!out.close).then_some(job);
        Ok(out)
    }

    /// Connects, sends one request, closes.
    pub async fn once(
        env: &Env,
        addr: SocketAddr,
        method: &str,
        path: &str,
        head: &[(&str, String)],
        body: Bytes,
        span: Duration,
    ) -> Result<HttpResponse, CallError> {
        let mut line = Self::connect(env, addr, span, 1 << 22).await?;
        line.call(method, path, head, body, span).await
    }
}
