//! The HTTP client.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, client::conn::http1};

use super::HttpResponse;
use crate::runtime::{Env, TaskGuard};

/// Why a call got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No part of the request was sent.
    #[error("not sent")]
    NotSent,
    /// The request may have been executed.
    #[error("sent, but not answered")]
    OutcomeUnknown,
}

/// One HTTP connection to a server or peer, for one call at a time. Each call is made once; retries are up to the code
/// that uses it. A connection with an outstanding response is closed and never reused.
pub struct Client {
    env: Env,
    sender: http1::SendRequest<Full<Bytes>>,
    max_response_bytes: usize,
    /// The task that drives the connection; dropping it closes the connection. `None` once the connection must not be
    /// reused.
    driver: Option<TaskGuard>,
}

impl Client {
    /// Connects within `timeout`; response bodies may be up to `max_response_bytes` long.
    pub async fn connect(
        env: &Env,
        addr: SocketAddr,
        timeout: Duration,
        max_response_bytes: usize,
    ) -> Result<Self, CallError> {
        let io = env.connect(addr, timeout).await.map_err(|_| CallError::NotSent)?;
        let (sender, connection) = http1::handshake(io).await.map_err(|_| CallError::NotSent)?;
        let driver = env.spawn(async move {
            let _ = connection.await;
        });
        Ok(Self { env: env.clone(), sender, max_response_bytes, driver: Some(driver) })
    }

    /// Whether the connection can be used for another call.
    pub fn is_open(&self) -> bool {
        self.driver.is_some() && !self.sender.is_closed()
    }

    /// Sends one request and waits up to `timeout` for the whole response.
    pub async fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        // Held by this future while the response is outstanding: a timeout, an error or a cancelled call closes the
        // connection.
        let driver = self.driver.take().ok_or(CallError::NotSent)?;
        let deadline = self.env.now() + timeout;
        if !matches!(self.env.timeout(timeout, self.sender.ready()).await, Ok(Ok(()))) {
            return Err(CallError::NotSent);
        }
        let mut request = Request::builder().method(method).uri(path).header("host", "portspoke");
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(body)).map_err(|_| CallError::NotSent)?;
        let max_response_bytes = self.max_response_bytes;
        let sender = &mut self.sender;
        let exchange = async move {
            let response = match sender.try_send_request(request).await {
                Ok(response) => response,
                Err(mut e) => {
                    return Err(if e.take_message().is_some() {
                        CallError::NotSent
                    } else {
                        CallError::OutcomeUnknown
                    });
                }
            };
            let (head, body) = response.into_parts();
            let body = Limited::new(body, max_response_bytes)
                .collect()
                .await
                .map_err(|_| CallError::OutcomeUnknown)?
                .to_bytes();
            let headers = head.headers.iter();
            let headers = headers.filter_map(|(n, v)| Some((n.as_str().to_string(), v.to_str().ok()?.to_string())));
            let close = head.headers.get("connection").is_some_and(|v| v.as_bytes() == b"close");
            Ok(HttpResponse { status: head.status.as_u16(), headers: headers.collect(), body, close })
        };
        let remaining = deadline.saturating_sub(self.env.now());
        let response = self.env.timeout(remaining, exchange).await.map_err(|_| CallError::OutcomeUnknown)??;
        self.driver = (!response.close).then_some(driver);
        Ok(response)
    }

    /// Connects, sends one request and closes the connection. `timeout` applies to the connect and to the call
    /// separately.
    pub async fn connect_and_call(
        env: &Env,
        addr: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        let mut client = Self::connect(env, addr, timeout, 1 << 22).await?;
        client.call(method, path, headers, body, timeout).await
    }
}
