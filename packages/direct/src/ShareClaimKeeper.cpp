#include "ShareClaimKeeper.h"

#include "LeaderElection.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"

#include <algorithm>
#include <utility>

namespace toucanstep::direct {

namespace {

constexpr std::string_view settledMark = " settled";
constexpr int renewalsPerLease = 4;
constexpr auto retryDelay = std::chrono::milliseconds(300);
// The claim outlives the process until the next one on its machine has started.
constexpr auto restartTime = std::chrono::seconds(5);

} // namespace

std::optional<StoredClaim> readClaim(std::string_view value)
{
    StoredClaim claim;
    claim.settled = value.ends_with(settledMark);
    if (claim.settled)
        value.remove_suffix(settledMark.size());
    auto endpoint = base::parseEndpoint(std::string(value));
    if (!endpoint)
        return std::nullopt;
    claim.endpoint = *endpoint;
    return claim;
}

ShareClaimKeeper::ShareClaimKeeper(io::EventLoop& loop, base::KeyValueStore& store, const Directory& fleet, const DirectGatewaySettings& settings)
    : m_loop(loop)
    , m_store(store)
    , m_fleet(fleet)
    , m_settings(settings)
    , m_claim(m_claimSettings)
{
}

std::string ShareClaimKeeper::claimKey() const { return base::concat(claimPrefix, m_settings.instance); }

std::string ShareClaimKeeper::value(bool settled) const { return base::concat(m_settings.peers.text(), settled ? settledMark : std::string_view()); }

base::Instant ShareClaimKeeper::leaseEnd(base::Instant sent) const { return sent + m_claimSettings.lease; }

const base::KeyValue* ShareClaimKeeper::entry() const
{
    auto found = m_fleet.entries().find(claimKey());
    return found == m_fleet.entries().end() ? nullptr : &found->second;
}

void ShareClaimKeeper::tick()
{
    base::Instant now = m_loop.now();
    if (m_pending || m_leaving || now < m_nextAttempt)
        return;
    if (!m_lease)
        grantLease();
    else if (!m_written && m_fleet.synced())
        write();
    else if (m_claim.canSettle(now))
        writeSettled();
    else if (auto unsettled = m_claim.removable(now))
        removeClaim(*unsettled);
    else if (m_written && now >= m_nextRenewal)
        renewLease();
}

void ShareClaimKeeper::grantLease()
{
    m_pending = true;
    base::Instant sent = m_loop.now();
    m_nextAttempt = sent + retryDelay;
    m_store.grantLease(m_claimSettings.lease, sent + storeCallTimeout, [this, sent](base::Outcome<base::LeaseId> outcome) {
        m_pending = false;
        const auto* lease = std::get_if<base::LeaseId>(&outcome);
        if (!lease || m_leaving)
            return;
        m_lease = *lease;
        m_leaseSent = sent;
        m_nextRenewal = sent + m_claimSettings.lease / renewalsPerLease;
        m_nextAttempt = {};
        tick();
    });
}

void ShareClaimKeeper::renewLease()
{
    m_pending = true;
    base::Instant sent = m_loop.now();
    m_nextAttempt = sent + retryDelay;
    m_store.keepLeaseAlive(*m_lease, sent + storeCallTimeout, [this, sent](base::Outcome<base::LeaseId> outcome) {
        m_pending = false;
        if (std::holds_alternative<base::LeaseId>(outcome)) {
            m_leaseSent = sent;
            m_nextRenewal = sent + m_claimSettings.lease / renewalsPerLease;
            m_claim.onRenewed(leaseEnd(sent));
        } else if (std::get<base::Error>(outcome).kind == base::ErrorKind::Rejected) {
            lose("the lease has ended");
        }
    });
}

// The comparison holds only if the claim has not left the store since the list was read.
void ShareClaimKeeper::write()
{
    m_pending = true;
    m_nextAttempt = m_loop.now() + retryDelay;
    const base::KeyValue* known = entry();
    auto claim = known ? readClaim(known->value) : std::nullopt;
    bool continued = claim && claim->settled;
    std::optional<base::Revision> created = known ? std::optional(known->created) : std::nullopt;
    base::Transaction transaction;
    transaction.comparisons.push_back({ claimKey(), known ? known->modified : base::Revision() });
    transaction.operations.emplace_back(base::PutOperation { claimKey(), value(continued), m_lease });
    m_store.commit(std::move(transaction), m_loop.now() + storeCallTimeout, [this, continued, created](base::Outcome<base::TransactionReply> outcome) {
        m_pending = false;
        const auto* reply = std::get_if<base::TransactionReply>(&outcome);
        if (reply && reply->committed) {
            base::LogLine("limit_claim_written").add("revision", reply->revision).add("continued", continued ? "yes" : "no");
            m_written = reply->revision;
            m_claim.onWritten(reply->revision, created.value_or(reply->revision), leaseEnd(m_leaseSent), continued, m_loop.now());
            return;
        }
        base::LogLine("limit_claim_failed").add("reason", reply ? "the claim has changed" : std::get<base::Error>(outcome).message);
        // No such lease.
        if (!reply && std::get<base::Error>(outcome).kind == base::ErrorKind::Rejected)
            m_lease.reset();
    });
}

void ShareClaimKeeper::writeSettled()
{
    m_pending = true;
    m_nextAttempt = m_loop.now() + retryDelay;
    base::Transaction transaction;
    transaction.comparisons.push_back({ claimKey(), *m_written });
    transaction.operations.emplace_back(base::PutOperation { claimKey(), value(true), m_lease });
    m_store.commit(std::move(transaction), m_loop.now() + storeCallTimeout, [this](base::Outcome<base::TransactionReply> outcome) {
        m_pending = false;
        const auto* reply = std::get_if<base::TransactionReply>(&outcome);
        if (reply && !reply->committed) {
            lose("another write has replaced it");
        } else if (reply) {
            base::LogLine("limit_claim_settled").add("revision", reply->revision);
            m_written = reply->revision;
            m_claim.onSettled(reply->revision);
        }
    });
}

// The gateway with that claim cannot settle it any more, since its own write compares the revision.
void ShareClaimKeeper::removeClaim(const base::InstanceId& id)
{
    auto known = m_fleet.entries().find(base::concat(claimPrefix, id));
    if (known == m_fleet.entries().end())
        return;
    m_pending = true;
    m_nextAttempt = m_loop.now() + retryDelay;
    base::LogLine("limit_claim_removed").add("gateway", id).add("written", known->second.modified);
    base::Transaction transaction;
    transaction.comparisons.push_back({ known->first, known->second.modified });
    transaction.operations.emplace_back(base::DeleteOperation { known->first });
    m_store.commit(std::move(transaction), m_loop.now() + storeCallTimeout, [this](base::Outcome<base::TransactionReply>) { m_pending = false; });
}

void ShareClaimKeeper::lose(std::string_view why)
{
    base::LogLine("limit_claim_lost").add("reason", why);
    m_written.reset();
    m_lease.reset();
    m_claim.onLost();
}

void ShareClaimKeeper::onDirectoryUpdated()
{
    std::map<base::InstanceId, scheduling::ListedClaim> others;
    const auto& entries = m_fleet.entries();
    for (auto entry = entries.lower_bound(std::string(claimPrefix)); entry != entries.end() && entry->first.starts_with(claimPrefix); ++entry) {
        base::InstanceId id(entry->first.substr(claimPrefix.size()));
        auto claim = readClaim(entry->second.value);
        if (id != m_settings.instance)
            others.emplace(id, scheduling::ListedClaim { entry->second.created, entry->second.modified, claim && claim->settled });
    }
    if (m_fleet.synced() && m_fleet.lastAnswer())
        m_claim.setOthers(std::move(others), m_fleet.revision(), *m_fleet.lastAnswer());
    if (!m_written || m_pending || m_leaving || m_fleet.revision() < *m_written)
        return;
    const base::KeyValue* known = entry();
    if (!known || known->modified != *m_written)
        lose(known ? "another write has replaced it" : "it is no longer in the store");
}

void ShareClaimKeeper::leave()
{
    if (std::exchange(m_leaving, true) || !m_written)
        return;
    base::Instant sent = m_loop.now();
    base::Duration rest = m_settings.terminationGrace + restartTime;
    m_store.grantLease(rest, sent + storeCallTimeout, [this, sent, rest](base::Outcome<base::LeaseId> outcome) {
        const auto* lease = std::get_if<base::LeaseId>(&outcome);
        if (!lease || !m_written)
            return;
        // From here on the claim may be under either lease.
        m_claim.onRenewed(std::min(leaseEnd(m_leaseSent), sent + rest + m_claimSettings.margin));
        base::Transaction transaction;
        transaction.comparisons.push_back({ claimKey(), *m_written });
        transaction.operations.emplace_back(base::PutOperation { claimKey(), value(m_claim.isSettled()), *lease });
        m_store.commit(std::move(transaction), m_loop.now() + storeCallTimeout, [](base::Outcome<base::TransactionReply>) {});
    });
}

} // namespace toucanstep::direct
