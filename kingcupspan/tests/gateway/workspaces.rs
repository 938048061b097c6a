//! Workspaces: keys of callers, and what endpoints are told.

use kingcupspan_platform::headers::HeaderLookup;
use kingcupspan_platform_standin::{caller::Request, endpoint::ExecutedRequest, settings};

use crate::fleet::Fleet;

/// Key of a caller of the workspace `north`.
const NORTH_KEY: &str = "north-key";

/// Key of a caller of the workspace `south`.
const SOUTH_KEY: &str = "south-key";

/// Starts a fleet whose configuration has two workspaces.
async fn start_fleet(name: &str, daemons: usize) -> Fleet {
    let workspaces = [("north", NORTH_KEY), ("south", SOUTH_KEY)];
    let configuration = settings::with_workspaces(settings::configuration(2, 2_000), &workspaces);
    Fleet::start_with_workspaces(name, daemons, &configuration).await
}

/// Adds a key to a request.
fn with_key(mut request: Request, key: &str) -> Request {
    request.headers += &format!("Authorization: Bearer {key}\r\n");
    request
}

/// Requests with an id that plain endpoints have executed.
fn executed_requests(fleet: &Fleet, id: &str) -> Vec<ExecutedRequest> {
    let executed = fleet.service_endpoints.iter();
    let executed = executed.flat_map(|e| e.executed_requests());
    executed.filter(|r| r.id == id).collect()
}

// Guards against keys of callers that reach endpoints, and against callers that name a workspace
// themselves.
#[async_std::test]
async fn endpoints_are_told_the_workspace_and_no_key() {
    let fleet = start_fleet("gateway-workspace-name", 1).await;
    let mut request = with_key(Request::plain("/safe/x", "r1"), NORTH_KEY);
    request.headers += "Kingcupspan-Tenant: south\r\n";
    assert_eq!(fleet.send(0, &request).await.status, 200);
    let executed = executed_requests(&fleet, "r1");
    assert_eq!(executed.len(), 1);
    let headers = &executed[0].headers;
    let names: Vec<&[u8]> = headers.all("kingcupspan-tenant").collect();
    assert_eq!(names, [b"north"]);
    assert_eq!(headers.get("authorization"), None);
}

// Guards against requests that run without a key, or with one that no workspace holds.
#[async_std::test]
async fn requests_without_a_known_key_are_refused() {
    let fleet = start_fleet("gateway-workspace-keys", 1).await;
    let without_key = Request::plain("/safe/x", "r1");
    assert_eq!(fleet.send(0, &without_key).await.status, 401);
    let unknown = with_key(Request::plain("/safe/x", "r2"), "no-such-key");
    assert_eq!(fleet.send(0, &unknown).await.status, 401);
    for id in ["r1", "r2"] {
        assert_eq!(executed_requests(&fleet, id), []);
    }
}
