// The platform's key-value service, spoken to through the JSON gateway of etcd v3.
//
//     auto store = makeEtcdStore("http://127.0.0.1:2379", std::make_shared<HttpClient>());
//
// What the errors say: Unavailable, the service never got the call; Rejected, it refused the call and did nothing; Timeout,
// the call may have taken effect, which includes every answer of the 500s, since a member may pass a write on and lose sight of it.
// A lease that has expired is Rejected. A watch delivers events from the revision `from` on, that one included; 0 stands for
// "from now". It ends with Rejected when that revision was compacted away; the keys must then be listed again. Where the
// service refuses to watch just now it ends with Unavailable, and may be begun again from the same revision.
// Callbacks run on the client's thread. Once the handle of a watch is destroyed its listener hears nothing more.

#pragma once

#include "toucanstep/base/KeyValue.h"
#include "toucanstep/formats/HttpClient.h"

namespace toucanstep::formats {

struct EtcdStoreOptions {
    // A watch on which nothing arrives for this long ends with Timeout, because a connection may have gone silent. The
    // listener watches again from the revision it has seen. Zero switches it off.
    base::Duration watchSilenceLimit = std::chrono::minutes(2);
};

std::unique_ptr<base::KeyValueStore> makeEtcdStore(std::string url, std::shared_ptr<HttpClient>, const EtcdStoreOptions& = {});

} // namespace toucanstep::formats
