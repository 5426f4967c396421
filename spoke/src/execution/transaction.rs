//! Transactions over HTTP.

use std::{cell::RefCell, rc::Rc, time::Duration};

use base::{
    ErrorKind,
    edge::{
        self, backend,
        client::{self, ClientRequest, Verb},
    },
    error::WriteOutcome,
    http::{CallError, HttpResponse},
};
use bytes::Bytes;

use super::{
    ExecutionContext, PendingStatement, SendFailure,
    session::{EndedTransaction, SessionStore, Transaction},
    write::epoch_header,
};
use crate::pool::StateOwner;

impl ExecutionContext {
    /// Opens a transaction at the primary, on a connection that it keeps until its end.
    pub async fn begin(
        self: &Rc<Self>,
        store: &Rc<RefCell<SessionStore>>,
        statement: &PendingStatement<'_>,
    ) -> HttpResponse {
        let PendingStatement { route, list_key, request, body, deadline } = *statement;
        let not_committed = |kind: ErrorKind| edge::error_response(kind, "", Some(WriteOutcome::NotCommitted));
        for _ in 0..super::ATTEMPT_LIMIT {
            let (mut slot, target) = match self.acquire_primary(store, statement).await {
                Ok(acquired) => acquired,
                Err(kind) => return not_committed(kind),
            };
            let requested_at = self.env.now();
            let headers = [
                (client::ATTEMPT_ID_HEADER, request.attempt_id.to_string()),
                (backend::EPOCH_HEADER, epoch_header(&target)),
            ];
            // A transaction that got no further than its BEGIN commits nothing, so the BEGIN may be sent again.
            let Ok(response) = self.send(&mut slot, &target, Verb::Begin, &headers, body.clone(), deadline).await
            else {
                self.health.record(list_key, &target.server, pick::Outcome::Error, self.env.now() - requested_at);
                continue;
            };
            let metadata = self.record_response(list_key, &slot, &response, requested_at);
            if response.status >= 300 {
                slot.taint();
                if metadata.not_executed || metadata.failed {
                    return not_committed(if metadata.throttled {
                        ErrorKind::Overloaded
                    } else {
                        ErrorKind::NoPrimary
                    });
                }
                return self
                    .client_response(response, &target.server, store.borrow().token)
                    .with_header(client::WRITE_OUTCOME_HEADER, WriteOutcome::NotCommitted);
            }
            let response = self.client_response(response, &target.server, store.borrow().token);
            store.borrow_mut().transaction =
                Some(Transaction { slot, target, database: route.name.clone(), idle_timer: None });
            self.start_idle_timer(store);
            return response;
        }
        not_committed(ErrorKind::NoServer)
    }

    /// Ends the transaction if no statement arrives within the idle timeout.
    fn start_idle_timer(self: &Rc<Self>, store: &Rc<RefCell<SessionStore>>) {
        let (_, idle_timeout) = self.router.default_timeouts();
        let (context, weak_store) = (self.clone(), Rc::downgrade(store));
        let timer = self.env.spawn(async move {
            context.env.sleep(idle_timeout).await;
            let Some(store) = weak_store.upgrade() else { return };
            let transaction = store.borrow_mut().transaction.take();
            if let Some(mut transaction) = transaction {
                if let Some(timer) = transaction.idle_timer.take() {
                    // This is the running task itself; dropping its guard would cancel it.
                    timer.detach();
                }
                store.borrow_mut().ended = Some(EndedTransaction(ErrorKind::TransactionLost));
                context.roll_back(transaction).await;
            }
        });
        if let Some(transaction) = &mut store.borrow_mut().transaction {
            transaction.idle_timer = Some(timer);
        }
    }

    /// Executes a statement in the open transaction.
    pub async fn execute_in_transaction(
        self: &Rc<Self>,
        store: &Rc<RefCell<SessionStore>>,
        request: &ClientRequest<'_>,
        body: &Bytes,
        deadline: Duration,
    ) -> HttpResponse {
        let not_committed =
            |kind: ErrorKind, text: &str| edge::error_response(kind, text, Some(WriteOutcome::NotCommitted));
        let Some(mut transaction) = store.borrow_mut().transaction.take() else {
            return not_committed(ErrorKind::OutOfOrder, "");
        };
        transaction.idle_timer = None;
        let keep_open = |transaction: Transaction, response: HttpResponse| {
            store.borrow_mut().transaction = Some(transaction);
            self.start_idle_timer(store);
            response
        };
        if transaction.database != request.database {
            return keep_open(
                transaction,
                not_committed(ErrorKind::OutOfOrder, "the open transaction is of another database"),
            );
        }
        if request.verb == Verb::Begin {
            return keep_open(transaction, not_committed(ErrorKind::OutOfOrder, "a transaction is open"));
        }
        let changes_session = matches!(request.verb, Verb::Set | Verb::Prepare);
        if changes_session && !store.borrow().has_room(&transaction.database, body.len()) {
            return keep_open(
                transaction,
                not_committed(ErrorKind::Overloaded, "the session has too many values and prepared names"),
            );
        }
        if request.verb == Verb::Rollback {
            let server = transaction.target.server.clone();
            self.roll_back(transaction).await;
            return HttpResponse::new(200, "{}")
                .with_header(client::SERVER_HEADER, server)
                .with_header(client::WRITE_OUTCOME_HEADER, WriteOutcome::NotCommitted);
        }
        // After the lease has ended, or in an evacuated zone, nothing of the transaction may be committed.
        let lost = !self.router.is_valid(&transaction.target) || !self.router.is_usable(&transaction.target);
        if lost || self.router.check_continuation().is_err() {
            let context = self.clone();
            self.env.spawn(async move { context.roll_back(transaction).await }).detach();
            return not_committed(ErrorKind::TransactionLost, "the transaction can't go on; nothing of it is kept");
        }
        let list_key = self.health.list_key(request.database, request.label);
        let requested_at = self.env.now();
        let headers = [
            (client::ATTEMPT_ID_HEADER, request.attempt_id.to_string()),
            (backend::EPOCH_HEADER, epoch_header(&transaction.target)),
        ];
        let result =
            self.send(&mut transaction.slot, &transaction.target, request.verb, &headers, body.clone(), deadline).await;
        let response = match result {
            Ok(response) => response,
            Err(failure) => {
                self.health.record(
                    &list_key,
                    &transaction.target.server,
                    pick::Outcome::Error,
                    self.env.now() - requested_at,
                );
                if request.verb == Verb::Commit && !matches!(failure, SendFailure::Call(CallError::NotSent)) {
                    return self.outcome_unknown_response(store);
                }
                return not_committed(
                    ErrorKind::TransactionLost,
                    "the connection broke; nothing of the transaction is kept",
                );
            }
        };
        let metadata = self.record_response(&list_key, &transaction.slot, &response, requested_at);
        if request.verb == Verb::Commit {
            return self.finish_commit(store, transaction, metadata, response, deadline).await;
        }
        if metadata.failed || (request.verb == Verb::Read && !self.router.is_valid(&transaction.target)) {
            let context = self.clone();
            self.env.spawn(async move { context.roll_back(transaction).await }).detach();
            return not_committed(ErrorKind::TransactionLost, "the server failed; nothing of the transaction is kept");
        }
        if changes_session && response.status < 300 {
            let (session, statements) = {
                let store = store.borrow();
                (store.id, store.statements.get(&transaction.database).map_or(0, Vec::len))
            };
            self.record_session_statement(store, &transaction.database, request.verb, body);
            transaction.slot.set_state_owner(StateOwner {
                session,
                database: transaction.database.clone(),
                statements: statements + 1,
            });
        }
        let response = self.client_response(response, &transaction.target.server, store.borrow().token);
        keep_open(transaction, response)
    }

    /// Turns a server's response to COMMIT into the client's response.
    async fn finish_commit(
        self: &Rc<Self>,
        store: &Rc<RefCell<SessionStore>>,
        mut transaction: Transaction,
        metadata: backend::ResponseMetadata,
        response: HttpResponse,
        deadline: Duration,
    ) -> HttpResponse {
        if response.status < 300 {
            let target = transaction.target.clone();
            drop(transaction);
            return self.confirm_commit(store, &target, metadata.position, response, deadline).await;
        }
        transaction.slot.taint();
        if metadata.failed && !metadata.not_executed {
            return self.outcome_unknown_response(store);
        }
        let token = store.borrow().token;
        self.client_response(response, &transaction.target.server, token)
            .with_header(client::WRITE_OUTCOME_HEADER, WriteOutcome::NotCommitted)
    }
}
