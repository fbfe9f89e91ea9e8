// The requests of one sidecar, from their arrival until nobody can ask for their answer any more.

#pragma once

#include "toucanstep/base/Refusal.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/peers/Messages.h"
#include "toucanstep/peers/PeerServer.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucanstep::sidecar::internal {

enum class RequestState {
    Queued,
    Running,
    Ended,
};

// A request id with the attempt: a gateway that dispatches a request anew starts an entry of its own.
using EntryKey = base::StrongId<struct EntryKeyTag>;
EntryKey entryKey(const base::RequestId&, int64_t attempt);

struct RequestEntry {
    EntryKey key;
    peers::RunRequest message;
    base::InstanceId gateway;
    base::Instant deadline;
    RequestState state = RequestState::Queued;
    // Null while the gateway's connection is lost.
    std::shared_ptr<peers::PeerResponder> responder;
    // Since when no gateway is attached; work for nobody is cancelled some time after.
    std::optional<base::Instant> detachedAt;
    // The answer as far as it has come, kept so that a gateway can attach again at any chunk.
    std::optional<peers::AnswerStart> start;
    std::vector<std::string> chunks;
    size_t keptBytes = 0;
    std::optional<peers::RunEventBody> ending;
    // When the ended answer is forgotten.
    base::Instant forgetAt;
    bool cold = false;
    // How often the upstream's stream was taken up again.
    int resumes = 0;
    int64_t tokens = 0;
    base::Instant startedAt;
    // For the history only: a digest chained over the chunks.
    std::string digest;
};

class RequestTable {
public:
    RequestEntry& add(RequestEntry);
    RequestEntry* find(const EntryKey&);
    void erase(const EntryKey&);
    size_t countIn(RequestState) const;
    std::vector<EntryKey> keys() const;
    // Entries whose time is over: ended ones nobody came back for, and running ones that nobody waits for.
    std::vector<EntryKey> due(base::Instant now, base::Duration detachGrace) const;

private:
    absl::flat_hash_map<EntryKey, std::unique_ptr<RequestEntry>> m_entries;
};

} // namespace toucanstep::sidecar::internal
