use crate::role;

/// HTTP method of a route.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Method {
    /// `GET`, for routes that read.
    Get,
    /// `POST`, for routes that change the state.
    Post,
}

/// Route of the administration API.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Route {
    /// State of the host.
    Status,
    /// Settings in force, without secrets.
    Settings,
    /// Hosts in the membership list.
    Hosts,
    /// Endpoints with their load.
    Endpoints,
    /// Classes with their load and attainment.
    Classes,
    /// Teams with their load.
    Teams,
    /// Open and recent requests.
    Requests,
    /// Decisions about one request.
    Explain,
    /// Counts of requests within and outside their service levels, which can be merged
    /// over hosts.
    Burn,
    /// Drains a host or an endpoint.
    Drain,
    /// Returns a host or an endpoint to service.
    Undrain,
    /// OpenAPI description of the routes.
    Openapi,
}

impl Route {
    /// Every route.
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

    /// Returns the path of the route.
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

    /// Returns the HTTP method of the route.
    pub const fn method(self) -> Method {
        match self {
            Self::Drain | Self::Undrain => Method::Post,
            _ => Method::Get,
        }
    }

    /// Returns the role that the key must have; `None` if no key is required.
    pub const fn role(self) -> Option<role::Role> {
        match self {
            Self::Openapi => None,
            Self::Drain | Self::Undrain => Some(role::Role::Operate),
            _ => Some(role::Role::Read),
        }
    }
}
