use std::time::Duration;

use base::{ErrorKind, position::Position, runtime::Component};
use wire::{Election, Group, Image, ServerLog};

use super::{Leadership, sampling::LogSample};

/// What this hub saw of a server's log since it first met it.
#[derive(Clone, Copy, Debug)]
pub struct LogRecord {
    /// The log's identity.
    log_id: u64,
    /// Since when this log is known, or known to have lost something.
    since: Duration,
    /// The turn of the entry that it lost something of.
    lost_since_admission: Option<u64>,
    /// The head it has to reach, read after `since`.
    target: Option<Position>,
}

/// How a group's membership stands.
#[derive(Clone, Copy, Debug, Default)]
pub struct MembershipPhase {
    /// When this hub first knew of the present set of voters and leavers.
    since: Duration,
    checksum: u64,
    /// The head that must be held by those who stay.
    target: Option<Position>,
}

fn membership_checksum(image: &Image, group: &Group) -> u64 {
    let mut hasher = crc32fast::Hasher::new();
    image.voters(group).for_each(|log| hasher.update(log.server.as_bytes()));
    group.leaving_servers.iter().for_each(|server| hasher.update(server.as_bytes()));
    u64::from(hasher.finalize()) | 1 << 32
}

impl Leadership {
    /// Takes in a reading; a place that went back, or another log, is noted before the reading counts.
    pub(super) fn record_sample(&self, server: &str, sample: LogSample) {
        let image = self.consensus.image();
        let entry = image.as_ref().and_then(|image| image.log(server).cloned());
        let elected = image
            .as_ref()
            .and_then(|image| image.election(&image.group_including_leaving(server)?.name))
            .map(|election| (election.epoch, election.start_position()));
        let (elected, start) = elected.unwrap_or_default();
        let previous = self.log_samples.borrow().get(server).copied();
        let lost = previous.is_some_and(|previous| {
            previous.log_id == sample.log_id && previous.position.has_lost_entries(sample.position, elected, start)
        });
        {
            let mut records = self.log_records.borrow_mut();
            let new_record = LogRecord {
                log_id: sample.log_id,
                since: sample.received_at,
                lost_since_admission: None,
                target: None,
            };
            let record = records.entry(server.into()).or_insert(new_record);
            if record.log_id != sample.log_id {
                *record = new_record;
            }
            if lost {
                record.since = sample.received_at;
                record.target = None;
                record.lost_since_admission = Some(entry.map_or(0, |log| log.admission));
                self.log(Component::Elect, format!("{server} went back to {} in its log", sample.position));
            }
        }
        self.log_samples.borrow_mut().insert(server.into(), sample);
    }

    /// A node tells that a log lost something after it was taken in at this turn.
    pub(super) fn record_lost_entries(&self, image: &Image, server: &str, admission: u64) {
        if image.log(server).is_some_and(|log| log.admission == admission && !log.incomplete)
            && let Some(record) = self.log_records.borrow_mut().get_mut(server)
            && record.lost_since_admission != Some(admission)
        {
            *record =
                LogRecord { since: self.env.now(), lost_since_admission: Some(admission), target: None, ..*record };
        }
    }

    /// Whether what a server shows counts towards a quorum.
    pub(super) fn counts_towards_quorum(&self, image: &Image, server: &str) -> bool {
        if self.disabled.no_roll {
            return true;
        }
        let Some(log) = image.log(server) else { return false };
        let same_log = self.log_samples.borrow().get(server).is_some_and(|sample| sample.log_id == log.log_id);
        let lost =
            self.log_records.borrow().get(server).is_some_and(|record| {
                record.lost_since_admission.is_some_and(|lost_since| lost_since >= log.admission)
            });
        same_log && !log.incomplete && !lost
    }

    /// Whether a leader shows that it is not the log that was elected any more.
    pub(super) fn primary_lost_entries(&self, image: &Image, server: &str) -> bool {
        self.log_samples.borrow().contains_key(server)
            && image.log(server).is_some()
            && !self.counts_towards_quorum(image, server)
    }

    /// How many counted logs of a group must be read for an election: all but one of those that quorums are counted
    /// from, and all while nodes may still act on another set of them.
    pub(super) fn required_logs(&self, image: &Image, group: &Group) -> usize {
        let count = image.voters(group).count();
        let count = if count == 0 { group.servers.len() } else { count };
        let settled = self
            .membership_phases
            .borrow()
            .get(&group.name)
            .is_some_and(|phase| self.env.now() > phase.since + self.configuration_settle_time());
        if count == 2 && !settled { 2 } else { count.saturating_sub(1).max(1) }
    }

    /// After how long no node acts on the set before any more: a node that is not confirmed stops sooner.
    fn configuration_settle_time(&self) -> Duration {
        Duration::from_millis(self.bounds.blueprint) * 11 / 10
    }

    /// What is missing for an election, for operators to read.
    pub(super) fn describe_missing(&self, image: &Image, group: &Group, since: Duration) -> String {
        let describe = |server: &String| {
            let sample = self.log_samples.borrow().get(server).copied();
            match sample {
                Some(sample) if sample.requested_at >= since && self.counts_towards_quorum(image, server) => None,
                Some(sample) if sample.requested_at >= since && image.log(server).is_none() => {
                    Some(format!("{server} was never taken in"))
                }
                Some(sample) if sample.requested_at >= since => {
                    Some(format!("{server} came back without part of its log"))
                }
                _ => Some(format!("{server} can't be read")),
            }
        };
        group.servers_and_leaving().filter_map(describe).collect::<Vec<_>>().join(", ")
    }

    /// The entries a first election writes down: those read count from here, the others once they have caught up.
    pub(super) fn initial_logs(&self, image: &Image, group: &Group, since: Duration) -> Vec<ServerLog> {
        if image.voters(group).next().is_some() {
            return Vec::new();
        }
        let samples = self.log_samples.borrow();
        let entry = |server: &String| {
            let sample = samples.get(server).filter(|sample| sample.requested_at >= since);
            ServerLog {
                server: server.clone(),
                log_id: sample.map_or(0, |sample| sample.log_id),
                incomplete: sample.is_none(),
                admission: 1,
            }
        };
        group.servers.iter().map(entry).collect()
    }

    /// Keeps the roll of logs that count: takes in those that have caught up, lets go of those that lost something or
    /// are to leave. One change at a time.
    pub(super) async fn maintain_log_membership(&self) {
        loop {
            self.env.sleep(self.bounds.control_heartbeat()).await;
            let Some(image) = self.consensus.image() else { continue };
            if !self.consensus.leads() {
                continue;
            }
            for group in &image.groups {
                self.update_phase(&image, group);
                let Some(election) = image.election(&group.name) else { continue };
                let next =
                    self.next_admission(&image, group, election).or_else(|| self.next_removal(&image, group, election));
                let Some((text, next)) = next else { continue };
                let (group_name, epoch) = (group.name.clone(), election.epoch);
                let result = self
                    .consensus
                    .propose(move |image| {
                        if image.election(&group_name).map_or(0, |election| election.epoch) != epoch {
                            return Err(ErrorKind::VersionConflict);
                        }
                        let mut image = image.clone();
                        next(&mut image);
                        Ok(image)
                    })
                    .await;
                if result.is_ok() {
                    self.log(Component::Elect, text);
                    self.publish();
                }
                break;
            }
        }
    }

    fn update_phase(&self, image: &Image, group: &Group) {
        let checksum = membership_checksum(image, group);
        let mut phases = self.membership_phases.borrow_mut();
        let phase = phases.entry(group.name.clone()).or_default();
        if phase.checksum != checksum {
            *phase = MembershipPhase { since: self.env.now(), checksum, target: None };
        }
    }

    /// The leader's newest reading, if it was asked for after a time and shows it leading on its line.
    fn primary_position(&self, election: &Election, after: Duration) -> Option<Position> {
        let samples = self.log_samples.borrow();
        let sample = samples.get(&election.server).filter(|sample| {
            sample.requested_at > after && sample.is_primary && sample.position.epoch == election.epoch
        })?;
        Some(sample.position)
    }

    fn next_admission(&self, image: &Image, group: &Group, election: &Election) -> Option<LogChange> {
        let primary_counts = self.counts_towards_quorum(image, &election.server);
        for server in &group.servers {
            let Some(record) = self.log_records.borrow().get(server).copied() else { continue };
            let entry = image.log(server).cloned();
            if let Some(log) = &entry {
                let same = log.log_id == record.log_id;
                if !log.incomplete
                    && (!same || record.lost_since_admission.is_some_and(|lost_since| lost_since >= log.admission))
                {
                    let (text, name) = (format!("{server} has lost its log or a part of it"), server.clone());
                    return Some((
                        text,
                        Box::new(move |image| {
                            image.logs.iter_mut().for_each(|log| log.incomplete |= log.server == name)
                        }),
                    ));
                }
                if !log.incomplete && same {
                    continue;
                }
            }
            // The elected server need not be proven yet: with one other left, only this one can prove it.
            if *server == election.server || !primary_counts {
                continue;
            }
            let target = record
                .target
                .filter(|target| target.epoch == election.epoch)
                .or_else(|| self.primary_position(election, record.since));
            if let Some(record) = self.log_records.borrow_mut().get_mut(server) {
                record.target = target;
            }
            let position = self.log_samples.borrow().get(server).map(|sample| sample.position);
            let has_caught_up = target
                .zip(position)
                .is_some_and(|(target, position)| position.epoch == target.epoch && position.index >= target.index);
            if has_caught_up {
                let admission = entry.map_or(0, |log| log.admission) + 1;
                let admitted =
                    ServerLog { server: server.clone(), log_id: record.log_id, incomplete: false, admission };
                let text = format!("{server} has caught up with {}; its log counts", target.unwrap_or_default());
                return Some((
                    text,
                    Box::new(move |image| {
                        image.logs.retain(|log| log.server != admitted.server);
                        image.logs.push(admitted);
                    }),
                ));
            }
        }
        None
    }

    fn next_removal(&self, image: &Image, group: &Group, election: &Election) -> Option<LogChange> {
        let leaving = group.leaving_servers.first()?.clone();
        let since = self.membership_phases.borrow().get(&group.name)?.since + self.configuration_settle_time();
        if self.env.now() < since || group.leaving_servers.contains(&election.server) {
            return None;
        }
        let target = self
            .membership_phases
            .borrow()
            .get(&group.name)?
            .target
            .filter(|target| target.epoch == election.epoch)
            .or_else(|| self.primary_position(election, since))?;
        if let Some(phase) = self.membership_phases.borrow_mut().get_mut(&group.name) {
            phase.target = Some(target);
        }
        let holds_target = |server: &String| {
            let position = self.log_samples.borrow().get(server).map(|sample| sample.position);
            self.counts_towards_quorum(image, server)
                && position.is_some_and(|position| position.epoch == target.epoch && position.index >= target.index)
        };
        let no_other_voter = image.voters(group).all(|log| log.server == election.server || log.server == leaving);
        let second = group.servers.iter().any(|server| *server != election.server && holds_target(server));
        (self.counts_towards_quorum(image, &election.server) && (no_other_voter || second)).then(|| {
            let text = format!("{leaving} has left {}: all up to {target} is held by those who stay", group.name);
            let group_name = group.name.clone();
            let edit: ImageEdit = Box::new(move |image| {
                image
                    .groups
                    .iter_mut()
                    .filter(|group| group.name == group_name)
                    .for_each(|group| group.leaving_servers.retain(|server| *server != leaving));
                image.logs.retain(|log| log.server != leaving);
            });
            (text, edit)
        })
    }
}

type ImageEdit = Box<dyn FnOnce(&mut Image)>;
type LogChange = (String, ImageEdit);
