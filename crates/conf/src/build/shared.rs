use crate::build;
use crate::group;
use crate::settings;

pub(super) fn once(group: &group::Group) -> settings::Once {
    settings::Once {
        owners: group.texts("owners").to_vec(),
        previous_owners: group.texts("previous_owners").to_vec(),
        epoch: build::count(group, "epoch"),
        lease: group.duration("lease").unwrap_or_default(),
        clock_skew: group.duration("clock_skew").unwrap_or_default(),
        resend_max_age: group.duration("resend_max_age").unwrap_or_default(),
        kept_max: build::count(group, "kept_max"),
    }
}

pub(super) fn fleet(group: &group::Group) -> settings::Fleet {
    settings::Fleet {
        seeds: group.addresses("seeds").to_vec(),
        peer_keys: group.texts("peer_keys").to_vec(),
        platform: group.addresses("platform").to_vec(),
    }
}
