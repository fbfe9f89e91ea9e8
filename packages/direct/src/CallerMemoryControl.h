// Carries out what CallerMemory decides: keeps it informed of what calls, unread answers and requests being read hold, pauses and resumes
// upstreams, and ends what has to end.

#pragma once

#include "toucanstep/base/Metrics.h"
#include "toucanstep/direct/LoadPolicies.h"
#include "toucanstep/http1/Server.h"
#include "toucanstep/scheduling/CallerMemory.h"

#include <functional>
#include <map>
#include <memory>

namespace toucanstep::direct {

// A call whose memory is counted.
class MemoryHoldingCall {
public:
    virtual ~MemoryHoldingCall() = default;
    // Of the answer, besides what its caller's connection holds.
    virtual size_t bufferedAnswerBytes() const = 0;
    virtual void setUpstreamReading(bool) = 0;
    virtual void readUpstreamPiece(size_t most) = 0;
    virtual void endForMemory() = 0;
};

class CallerMemoryControl final : public http1::UploadListener {
public:
    CallerMemoryControl(io::EventLoop&, base::MetricsRegistry&, const CallerMemoryBounds&);

    // Has requests refused by this server. It must not end before the last call of this object.
    void setServer(http1::Server* server) { m_server = server; }
    // The call must not end without onCallEnded().
    scheduling::MemoryHolder add(MemoryHoldingCall&, std::shared_ptr<http1::ServerExchange>, const base::RequestId&, const base::ClientAccountId&);
    // May end the call.
    void onBuffered(scheduling::MemoryHolder);
    bool paused(scheduling::MemoryHolder holder) const { return m_memory.paused(holder); }
    // What is left of its answer stays counted until its caller has taken it or has gone.
    void onCallEnded(scheduling::MemoryHolder);
    // To be called several times a second.
    void tick();

    void onUploadGrew(uint64_t connection, size_t bytes) override;
    void onUploadEnded(uint64_t connection) override;

private:
    struct Entry {
        // Null once the call has ended.
        MemoryHoldingCall* call = nullptr;
        // Null for a request that is being read.
        std::shared_ptr<http1::ServerExchange> exchange;
        uint64_t connection = 0;
        base::RequestId id;
        base::ClientAccountId account;
        size_t unsent = 0;
        base::Instant lastTaken;
        bool toleratesSlowCaller = false;
    };

    static scheduling::HeldBytes heldBytes(const Entry&);
    void onTaken(scheduling::MemoryHolder);
    void noteUnsent(Entry&);
    void apply(const scheduling::MemoryDecisions&);
    void end(const scheduling::MemoryDecision&);

    io::EventLoop& m_loop;
    base::MetricsRegistry& m_metrics;
    scheduling::CallerMemory m_memory;
    http1::Server* m_server = nullptr;
    std::map<scheduling::MemoryHolder, Entry> m_entries;
    std::map<uint64_t, scheduling::MemoryHolder> m_uploads;
};

} // namespace toucanstep::direct
