//! Executes operators' scripts.

use {
    crate::{
        ask::{
            answer::{Answer, ClassEntry, Enforcement, ServiceEntry, Verdict},
            error::StatementError,
            grammar,
            secret::Secret,
            statement::{Filter, LocatedEdit, Question, Script},
            view::View,
        },
        config::{Config, EditCause, EditError, Proposal, Revision},
        control::{
            commit::CommitError,
            committer::{Committer, Receipt},
        },
    },
    async_trait::async_trait,
    smol_str::{SmolStr, ToSmolStr},
    std::{
        collections::BTreeMap,
        fmt::{self, Debug, Formatter},
        sync::Arc,
    },
};

/// Commits changes of the configuration.
#[async_trait]
pub trait CommitChange: Send + Sync {
    /// Stores a change and waits, for a bounded time, until it is in force.
    ///
    /// # Errors
    ///
    /// Fails if the change was not stored, or is not known to be.
    async fn commit_change(&self, proposal: Proposal) -> Result<Receipt, CommitError>;
}

#[async_trait]
impl CommitChange for Committer {
    async fn commit_change(&self, proposal: Proposal) -> Result<Receipt, CommitError> {
        self.commit(proposal).await
    }
}

/// Executor of one daemon.
pub struct Executor {
    view: Arc<dyn View>,
    committer: Arc<dyn CommitChange>,
    token: Option<Secret>,
}

impl Executor {
    /// Creates an executor; if `token` is given, operators must send it.
    pub fn new(
        view: Arc<dyn View>,
        committer: Arc<dyn CommitChange>,
        token: Option<Secret>,
    ) -> Self {
        Self {
            view,
            committer,
            token,
        }
    }

    /// Whether an operator who sent this token may use the executor.
    pub fn is_authorized(&self, sent_token: &str) -> bool {
        self.token
            .as_ref()
            .is_none_or(|token| token.matches(sent_token))
    }

    /// Executes a script; `change_id` becomes the identifier of the change, if the script is one.
    pub async fn ask(&self, sent_token: &str, text: &str, change_id: SmolStr) -> Verdict {
        if !self.is_authorized(sent_token) {
            return Verdict::Forbidden;
        }
        match grammar::parse(text) {
            Ok(Script::Questions(questions)) => self.answer_all(&questions),
            Ok(Script::Change { if_revision, edits }) => {
                self.change(text, change_id, if_revision, edits).await
            }
            Err(error) => Verdict::Invalid(error),
        }
    }

    async fn change(
        &self,
        text: &str,
        id: SmolStr,
        if_revision: Option<Revision>,
        located: Vec<LocatedEdit>,
    ) -> Verdict {
        let proposal = Proposal {
            id,
            text: SmolStr::new(text.trim()),
            if_revision,
            edits: located.iter().map(|located| located.edit.clone()).collect(),
        };
        match self.committer.commit_change(proposal).await {
            Ok(receipt) => Verdict::Changed(receipt),
            Err(CommitError::Invalid(error)) => {
                Verdict::Invalid(locate_error(text, &located, &error))
            }
            Err(error) => Verdict::NotChanged(error),
        }
    }

    fn answer_all(&self, questions: &[Question]) -> Verdict {
        let answers = questions.iter().map(|question| self.answer(question));
        Verdict::Answers(answers.collect())
    }

    fn answer(&self, question: &Question) -> Answer {
        let config = self.view.config();
        match question {
            Question::Services => self.services(&config),
            Question::Classes => classes(&config),
            Question::Workers => Answer::Workers {
                workers: self.view.workers(),
            },
            Question::DataCentres => Answer::DataCentres {
                data_centres: self.view.data_centres(),
            },
            Question::Rules => Answer::Rules {
                revision: config.revision,
                rules: config.rules.clone(),
                orders: config.orders.clone(),
            },
            Question::Quarantine => Answer::Quarantine {
                fingerprints: self.view.quarantine(),
            },
            Question::History { last } => history(&config, *last),
            Question::Enforced(filter) => self.enforced(&config, filter),
            Question::Explain(request_id) => {
                Answer::request(*request_id, self.view.explain(*request_id))
            }
        }
    }

    fn services(&self, config: &Config) -> Answer {
        let mut entries: BTreeMap<SmolStr, ServiceEntry> = BTreeMap::new();
        for (name, rule) in &config.services {
            entry(&mut entries, name).rule = Some(rule.clone());
        }
        for row in self.view.services() {
            let name = row.service.clone();
            entry(&mut entries, &name).load = Some(row);
        }
        Answer::Services {
            revision: config.revision,
            services: entries.into_values().collect(),
        }
    }

    fn enforced(&self, config: &Config, filter: &Filter) -> Answer {
        let service = match filter {
            Filter::Service(name) => config.service(name),
            _ => None,
        };
        let class = match filter {
            Filter::Class(name) => Some(config.class(name)),
            _ => None,
        };
        Answer::Enforced(Enforcement {
            revision: config.revision,
            filter: filter.clone(),
            service,
            class,
            daemons: self.view.enforced(filter),
        })
    }
}

impl Debug for Executor {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Executor").finish_non_exhaustive()
    }
}

fn entry<'e>(
    entries: &'e mut BTreeMap<SmolStr, ServiceEntry>,
    name: &SmolStr,
) -> &'e mut ServiceEntry {
    entries.entry(name.clone()).or_insert_with(|| ServiceEntry {
        service: name.clone(),
        rule: None,
        load: None,
    })
}

fn classes(config: &Config) -> Answer {
    let classes = config.classes.iter().map(|(class, rule)| ClassEntry {
        class: class.clone(),
        rule: rule.clone(),
    });
    Answer::Classes {
        revision: config.revision,
        classes: classes.collect(),
    }
}

fn history(config: &Config, last: usize) -> Answer {
    let skipped = config.history.len().saturating_sub(last);
    Answer::History {
        changes: config.history[skipped..].to_vec(),
    }
}

/// Converts an error of an edit to one that points at the value that is out of range, or otherwise
/// at the name of the item that cannot be changed.
fn locate_error(text: &str, located: &[LocatedEdit], error: &EditError) -> StatementError {
    let message = error.cause.to_smolstr();
    let Some(edit) = located.get(error.index) else {
        return StatementError::new(text, crate::ask::lexer::Span::default(), message);
    };
    let option = match &error.cause {
        EditCause::OutOfRange { what, .. } => Some(*what),
        _ => None,
    };
    let value = edit
        .words
        .windows(2)
        .find(|pair| option == Some(&text[pair[0].start..pair[0].end]))
        .map(|pair| pair[1]);
    StatementError::new(text, value.unwrap_or(edit.subject), message)
}
