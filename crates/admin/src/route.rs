use crate::role;

/// Method of a route.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Method {
    /// Reads.
    Get,
    /// Changes.
    Post,
}

/// Route of the administration API.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Route {
    /// State of the host.
    Status,
    /// Settings in force.
    Settings,
    /// Membership.
    Hosts,
    /// Endpoints.
    Endpoints,
    /// Classes.
    Classes,
    /// Teams.
    Teams,
    /// Requests.
    Requests,
    /// Decisions about one request.
    Explain,
    /// Counts against the service levels, for merged reports.
    Burn,
    /// Drains a host or an endpoint.
    Drain,
    /// Takes a host or an endpoint back into service.
    Undrain,
    /// Description of the routes.
    Openapi,
}

impl Route {
    /// Lists all routes.
    pub const ALL: [Self; 12] = [
        Self::Status,
        Self::Settings,
        Self::Hosts,
        Self::Endpoints,
        Self::Classes,
        Self::Teams,
        Self::Requests,
        Self::Explain,
        Self::Burn,
        Self::Drain,
        Self::Undrain,
        Self::Openapi,
    ];

    /// Returns the path.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Status => "/admin/v1/status",
            Self::Settings => "/admin/v1/settings",
            Self::Hosts => "/admin/v1/hosts",
            Self::Endpoints => "/admin/v1/endpoints",
            Self::Classes => "/admin/v1/classes",
            Self::Teams => "/admin/v1/teams",
            Self::Requests => "/admin/v1/requests",
            Self::Explain => "/admin/v1/explain",
            Self::Burn => "/admin/v1/burn",
            Self::Drain => "/admin/v1/drain",
            Self::Undrain => "/admin/v1/undrain",
            Self::Openapi => "/admin/v1/openapi.json",
        }
    }

    /// Returns the method.
    pub const fn method(self) -> Method {
        match self {
            Self::Drain | Self::Undrain => Method::Post,
            _ => Method::Get,
        }
    }

    /// Returns the role that a key needs; `None` if no key is needed.
    pub const fn role(self) -> Option<role::Role> {
        match self {
            Self::Openapi => None,
            Self::Drain | Self::Undrain => Some(role::Role::Operate),
            _ => Some(role::Role::Read),
        }
    }
}
