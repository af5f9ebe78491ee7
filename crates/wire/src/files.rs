use crate::error;
use crate::field;
use crate::limit;
use crate::message;
use crate::peer_capnp::files;

/// Answer to a [`crate::Fetch`]: the configuration files that differ from those it
/// lists.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Files {
    /// Configuration revision in force at the sender; 0 if there is none.
    pub revision: u64,
    /// SHA-256 of the whole configuration.
    pub content: [u8; 32],
    /// Names and contents of new and changed files.
    pub changed: Vec<(String, String)>,
    /// Names of the files that the configuration does not have any more.
    pub removed: Vec<String>,
}

impl Files {
    /// Checks the total length of all names and contents.
    fn check_length(&self) -> Result<(), error::Error> {
        let changed: usize = self
            .changed
            .iter()
            .map(|(name, text)| name.len() + text.len())
            .sum();
        let removed: usize = self.removed.iter().map(String::len).sum();
        field::count(changed + removed, limit::CONFIGURATION_BYTES, "files")?;
        Ok(())
    }
}

impl message::Message for Files {
    type Owned = files::Owned;

    fn write(&self, mut builder: files::Builder<'_>) -> Result<(), error::Error> {
        self.check_length()?;
        builder.set_revision(self.revision);
        builder.set_content(&self.content);
        let count = field::count(self.changed.len(), limit::FILES, "changed")?;
        let mut changed = builder.reborrow().init_changed(count);
        for (index, (name, text)) in (0..).zip(&self.changed) {
            let mut file = changed.reborrow().get(index);
            file.set_name(field::check(name.as_str(), limit::NAME_BYTES, "file name")?);
            file.set_text(text.as_str());
        }
        let count = field::count(self.removed.len(), limit::FILES, "removed")?;
        let mut removed = builder.init_removed(count);
        for (index, name) in (0..).zip(&self.removed) {
            removed.set(
                index,
                field::check(name.as_str(), limit::NAME_BYTES, "file name")?,
            );
        }
        Ok(())
    }

    fn read(reader: files::Reader<'_>) -> Result<Self, error::Error> {
        let mut files = Self {
            revision: reader.get_revision(),
            content: field::array(reader.get_content(), "content")?,
            ..Self::default()
        };
        let list = reader.get_changed()?;
        field::count(list.len() as usize, limit::FILES, "changed")?;
        let mut left = limit::CONFIGURATION_BYTES;
        for file in list {
            let name = field::text(file.get_name(), limit::NAME_BYTES, "file name")?;
            let text = field::text(file.get_text(), left, "files")?;
            left -= text.len();
            files.changed.push((name, text));
        }
        let list = reader.get_removed()?;
        field::count(list.len() as usize, limit::FILES, "removed")?;
        for name in list {
            let name = field::text(name, limit::NAME_BYTES, "file name")?;
            files.removed.push(name);
        }
        files.check_length()?;
        Ok(files)
    }
}
