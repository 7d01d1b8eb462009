//! Reads batches until the input ends and writes one complete reply for each.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};

use pinepoint::admission::{Action, Event};

use crate::error::WireError;
use crate::fields::Message;
use crate::input::Server;
use crate::output::ReplyLine;

/// A session with one simulator. It owns the simulated servers.
pub(crate) struct Session<R, W> {
    input: R,
    output: W,
    servers: BTreeMap<u64, Server>,
}

/// The actions of one batch by server. `order` lists the servers in the order in which the batch names them.
#[derive(Default)]
struct BatchActions {
    order: Vec<u64>,
    by_server: BTreeMap<u64, Vec<Action>>,
}

impl BatchActions {
    fn of(&mut self, server: u64) -> &mut Vec<Action> {
        self.by_server.entry(server).or_insert_with(|| {
            self.order.push(server);
            Vec::new()
        })
    }
}

impl<R: BufRead, W: Write> Session<R, W> {
    pub(crate) fn new(input: R, output: W) -> Self {
        Session { input, output, servers: BTreeMap::new() }
    }

    /// Answers batches until the input ends. A truncated or invalid batch gets no reply.
    pub(crate) fn run(&mut self) -> Result<(), WireError> {
        while let Some(round) = self.read_message()? {
            if round.name() != "Round" {
                return Err(WireError::ExpectedRound(round.name().to_owned()));
            }
            let now_ms = round.number("atTimeMs")?;
            let batch = round.unsigned("batch")?;
            let actions = self.read_batch(now_ms, batch)?;
            let reply = self.end_batch(now_ms, batch, actions)?;
            self.output.write_all(&reply)?;
            self.output.flush()?;
        }
        Ok(())
    }

    /// Reads the messages of a batch and handles all of them.
    fn read_batch(&mut self, now_ms: f64, batch: u64) -> Result<BatchActions, WireError> {
        let mut actions = BatchActions::default();
        loop {
            let message = self.read_message()?.ok_or(WireError::TruncatedBatch(batch))?;
            if message.name() == "YourTurn" {
                return Ok(actions);
            }
            let server = message.unsigned("server")?;
            self.handle_message(now_ms, server, &message, actions.of(server))?;
        }
    }

    fn handle_message(
        &mut self,
        now_ms: f64,
        id: u64,
        message: &Message,
        actions: &mut Vec<Action>,
    ) -> Result<(), WireError> {
        let unknown = || WireError::UnknownServer { message: message.name().to_owned(), server: id };
        match message.name() {
            "Detach" => {
                actions.clear();
                self.servers.remove(&id).ok_or_else(unknown)?;
            }
            "Enlist" => {
                let mut server = Server::enlist(message)?;
                server.controller.handle(now_ms, Event::Started, actions);
                self.servers.insert(id, server);
            }
            _ => {
                let server = self.servers.get_mut(&id).ok_or_else(unknown)?;
                let event = server.event(message)?;
                server.controller.handle(now_ms, event, actions);
            }
        }
        Ok(())
    }

    /// Ends the batch for each server that it named, and returns the reply.
    fn end_batch(
        &mut self,
        now_ms: f64,
        batch: u64,
        mut actions: BatchActions,
    ) -> Result<Vec<u8>, WireError> {
        let mut reply = Vec::new();
        for id in actions.order {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let mut actions = actions.by_server.remove(&id).unwrap_or_default();
            server.controller.handle(now_ms, Event::BatchEnded, &mut actions);
            for action in &actions {
                ReplyLine::of(id, action).write_to(&mut reply)?;
            }
        }
        ReplyLine::Yield { batch }.write_to(&mut reply)?;
        Ok(reply)
    }

    /// Reads the next message; returns `None` at the end of the input. Blank lines are skipped.
    fn read_message(&mut self) -> Result<Option<Message>, WireError> {
        let mut line = String::new();
        loop {
            line.clear();
            if self.input.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            if !line.trim().is_empty() {
                return Message::parse(&line).map(Some);
            }
        }
    }
}
