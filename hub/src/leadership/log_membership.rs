//! Which servers' logs count towards the quorum of an election, in groups whose primary is elected here.

use std::time::Duration;

use base::{ErrorKind, position::Position, runtime::Component};
use wire::{Election, Group, Image, ServerLog};

use super::{Leadership, sampling::LogSample};

/// What this control node observed of a server's log since it first read it.
#[derive(Clone, Copy, Debug)]
pub struct LogRecord {
    /// The random id of the log.
    log_id: u64,
    /// Since when this log is known, or known to have lost entries.
    since: Duration,
    /// The admission number that the log had when it lost entries; 0 if it was not admitted.
    lost_since_admission: Option<u64>,
    /// The primary's position, read after `since`, that the log must reach before it counts.
    target: Option<Position>,
}

/// The state of a group's membership change.
#[derive(Clone, Copy, Debug, Default)]
pub struct MembershipPhase {
    /// When this control node first observed the current set of voters and leaving servers.
    since: Duration,
    /// Identifies that set; 0 while none was observed.
    checksum: u64,
    /// The primary's position that the remaining servers must hold.
    target: Option<Position>,
}

/// A checksum of a group's voters and leaving servers; never 0.
fn membership_checksum(image: &Image, group: &Group) -> u64 {
    let mut hasher = crc32fast::Hasher::new();
    image.voters(group).for_each(|log| hasher.update(log.server.as_bytes()));
    group.leaving_servers.iter().for_each(|server| hasher.update(server.as_bytes()));
    u64::from(hasher.finalize()) | 1 << 32
}

impl Leadership {
    /// Stores a sample. A position that went back, or a log with another id, is recorded before the sample is used.
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
                self.log(Component::Election, format!("{server} went back to {} in its log", sample.position));
            }
        }
        self.log_samples.borrow_mut().insert(server.into(), sample);
    }

    /// Handles a node's report that a log lost entries after it was admitted with this admission number.
    pub(super) fn record_lost_entries(&self, image: &Image, server: &str, admission: u64) {
        if image.log(server).is_some_and(|log| log.admission == admission && !log.incomplete)
            && let Some(record) = self.log_records.borrow_mut().get_mut(server)
            && record.lost_since_admission != Some(admission)
        {
            *record =
                LogRecord { since: self.env.now(), lost_since_admission: Some(admission), target: None, ..*record };
        }
    }

    /// Whether a server's log counts towards the quorum.
    pub(super) fn counts_towards_quorum(&self, image: &Image, server: &str) -> bool {
        if self.disabled.count_any_log {
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

    /// Whether the primary's log was read and is no longer the one that was elected.
    pub(super) fn primary_lost_entries(&self, image: &Image, server: &str) -> bool {
        self.log_samples.borrow().contains_key(server)
            && image.log(server).is_some()
            && !self.counts_towards_quorum(image, server)
    }

    /// How many logs that count must be read for an election: all voters but one. Of two voters both must be read while
    /// nodes may still use an earlier set of voters.
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

    /// After this time no node uses the previous configuration any more: a node that is not confirmed stops sooner.
    fn configuration_settle_time(&self) -> Duration {
        Duration::from_millis(self.bounds.blueprint) * 11 / 10
    }

    /// Describes for operators which logs are missing for an election, and why.
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

    /// The log entries that a first election records: logs that were read count from then on, the others once they have
    /// caught up. Empty if the group has voters already.
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

    /// Maintains the set of logs that count: admits logs that have caught up, and excludes logs that lost entries or
    /// whose servers leave. Proposes one change at a time.
    pub(super) async fn maintain_log_membership(&self) {
        loop {
            self.env.sleep(self.bounds.control_heartbeat()).await;
            let Some(image) = self.consensus.image() else { continue };
            if !self.consensus.leads_with_lease() {
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
                    self.log(Component::Election, text);
                    self.publish();
                }
                break;
            }
        }
    }

    /// Restarts a group's membership phase when its voters or leaving servers changed.
    fn update_phase(&self, image: &Image, group: &Group) {
        let checksum = membership_checksum(image, group);
        let mut phases = self.membership_phases.borrow_mut();
        let phase = phases.entry(group.name.clone()).or_default();
        if phase.checksum != checksum {
            *phase = MembershipPhase { since: self.env.now(), checksum, target: None };
        }
    }

    /// The position in the primary's latest sample, if that was requested later than `after` and shows it as primary in
    /// its epoch.
    fn primary_position(&self, election: &Election, after: Duration) -> Option<Position> {
        let samples = self.log_samples.borrow();
        let sample = samples.get(&election.server).filter(|sample| {
            sample.requested_at > after && sample.is_primary && sample.position.epoch == election.epoch
        })?;
        Some(sample.position)
    }

    /// The next log to mark as incomplete because it lost entries, or to admit because it has caught up.
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
                    let (text, name) = (format!("{server} has lost its log or part of it"), server.clone());
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
            // The elected server need not be proven yet: with only one other server left, that one has to be admitted
            // first so that it can prove the primary.
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
                let text = format!(
                    "{server} has caught up with {}; its log counts towards the quorum",
                    target.unwrap_or_default()
                );
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

    /// The next leaving server to remove: one whose entries the remaining servers hold.
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
            let text =
                format!("{leaving} has left {}: the remaining servers hold everything up to {target}", group.name);
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

/// A change of the image.
type ImageEdit = Box<dyn FnOnce(&mut Image)>;
/// A log line and the change that it describes.
type LogChange = (String, ImageEdit);
