#include "toucanstep/upstreams/FleetShare.h"

#include "toucanstep/base/Text.h"

#include <functional>
#include <string>
#include <tuple>
#include <utility>

namespace toucanstep::upstreams {

namespace {

// See the proof in the header.
constexpr auto loanTime = std::chrono::seconds(1);
// Longer than the windows in which calls to upstreams are counted.
constexpr auto idleTime = std::chrono::milliseconds(4600);
// A gateway asks for parts for this long after a call that its own did not cover.
constexpr auto wantTime = std::chrono::seconds(1);
// Bounds the size of reports.
constexpr size_t maxRequests = 16;

// The same at every gateway.
auto rankOf(std::string_view resource, const base::InstanceId& gateway)
{
    return std::tuple(std::hash<std::string> {}(base::concat(resource, "/", gateway)), gateway);
}

} // namespace

FleetShare::FleetShare(FleetShareSettings settings, base::InstanceId self)
    : m_settings(settings)
    , m_self(std::move(self))
{
}

void FleetShare::setMembership(bool registered, base::Instant leaseEnd, base::Instant now)
{
    bool lapsed = m_registered && now >= m_leaseEnd;
    bool listTooOld = m_lastListAnswer && now - *m_lastListAnswer > m_settings.maxListAge;
    bool began = registered && !m_registered;
    m_registered = registered;
    m_leaseEnd = leaseEnd;
    if (began || lapsed || listTooOld || !registered || now >= leaseEnd)
        m_settledFrom = now + m_settings.settlingTime;
    m_wasSettled |= isSettled(now);
    expireLoans(now);
}

void FleetShare::onListAnswer(base::Instant now)
{
    if (!m_lastListAnswer || now - *m_lastListAnswer > m_settings.maxListAge)
        m_settledFrom = now + m_settings.settlingTime;
    m_lastListAnswer = now;
}

void FleetShare::setListed(const std::set<base::InstanceId>& listed, base::Instant now)
{
    for (const auto& id : m_listed) {
        if (!listed.contains(id))
            m_departed[id] = now + m_settings.settlingTime;
    }
    m_listed = listed;
    m_places.clear();
    std::erase_if(m_departed, [&](const auto& entry) { return entry.second <= now || m_listed.contains(entry.first); });
}

bool FleetShare::isSettled(base::Instant now) const
{
    return m_registered && now < m_leaseEnd && m_lastListAnswer && now - *m_lastListAnswer <= m_settings.maxListAge && now >= m_settledFrom;
}

const FleetShare::Place& FleetShare::placeFor(std::string_view resource) const
{
    auto known = m_places.find(resource);
    if (known != m_places.end())
        return known->second;
    Place place;
    auto own = rankOf(resource, m_self);
    auto add = [&](const base::InstanceId& id) {
        if (id == m_self)
            return;
        ++place.count;
        place.rank += rankOf(resource, id) < own ? 1 : 0;
    };
    for (const auto& id : m_listed)
        add(id);
    for (const auto& [id, until] : m_departed)
        add(id);
    return m_places.emplace(resource, place).first->second;
}

int64_t FleetShare::partOf(const Place& place, int64_t amount)
{
    return place.rank < amount ? (amount - place.rank + place.count - 1) / place.count : 0;
}

int64_t FleetShare::ownPart(std::string_view resource, int64_t amount, base::Instant now) const
{
    auto lent = m_lent.find(resource);
    return lent != m_lent.end() && lent->second.until > now ? 0 : partOf(placeFor(resource), amount);
}

int64_t FleetShare::borrowedPart(std::string_view resource, int64_t amount, base::Instant now) const
{
    auto lenders = m_borrowed.find(resource);
    if (lenders == m_borrowed.end())
        return 0;
    int64_t sum = 0;
    for (const auto& [lender, borrowed] : lenders->second)
        sum += borrowed.until > now ? partOf(borrowed.place, amount) : 0;
    return sum;
}

int64_t FleetShare::part(std::string_view resource, int64_t amount, base::Instant now) const
{
    return (isSettled(now) ? ownPart(resource, amount, now) : 0) + borrowedPart(resource, amount, now);
}

int64_t FleetShare::lastPart(std::string_view resource, int64_t amount, base::Instant now) const
{
    return (m_wasSettled ? ownPart(resource, amount, now) : 0) + borrowedPart(resource, amount, now);
}

void FleetShare::onUse(std::string_view resource, base::Instant now)
{
    m_lastUse[std::string(resource)] = now;
    // Asks again before the loans end.
    if (m_borrowed.contains(resource))
        want(resource, now);
}

void FleetShare::want(std::string_view resource, base::Instant now)
{
    m_lastWanted[std::string(resource)] = now;
}

bool FleetShare::isWanted(std::string_view resource, base::Instant now) const
{
    auto wanted = m_lastWanted.find(resource);
    return wanted != m_lastWanted.end() && now - wanted->second < wantTime;
}

std::vector<PartRequest> FleetShare::requests(base::Instant now)
{
    std::vector<PartRequest> requests;
    for (const auto& [resource, wanted] : m_lastWanted) {
        if (requests.size() < maxRequests && isWanted(resource, now))
            requests.push_back({ resource, now.time_since_epoch() });
    }
    if (!requests.empty())
        m_requestsSent.insert(now);
    return requests;
}

void FleetShare::onPeerRequests(const base::InstanceId& id, int64_t incarnation, const std::vector<PartRequest>& requests, base::Instant now)
{
    for (const PartRequest& request : requests) {
        auto used = m_lastUse.find(request.resource);
        bool isIdle = used == m_lastUse.end() || now - used->second >= idleTime;
        auto lent = m_lent.find(request.resource);
        bool isLentToAnother = lent != m_lent.end() && lent->second.until > now && (lent->second.borrower != id || lent->second.incarnation != incarnation);
        if (!isSettled(now) || !isIdle || isLentToAnother || isWanted(request.resource, now))
            continue;
        m_lent[request.resource] = { id, incarnation, now + loanTime + idleTime };
        const Place& place = placeFor(request.resource);
        m_loans.push_back({ request.resource, id, request.sentAt, place.rank, place.count });
    }
}

std::vector<PartLoan> FleetShare::takeLoans()
{
    return std::exchange(m_loans, {});
}

bool FleetShare::onPeerLoans(const base::InstanceId& lender, const std::vector<PartLoan>& loans, base::Instant now)
{
    bool began = false;
    for (const PartLoan& loan : loans) {
        base::Instant sent(loan.sentAt);
        base::Instant until = sent + loanTime;
        if (loan.borrower != m_self || !m_requestsSent.contains(sent) || until <= now || loan.rank < 0 || loan.count < 1)
            continue;
        Borrowed& borrowed = m_borrowed[loan.resource][lender];
        began |= borrowed.until <= now;
        borrowed = { { loan.rank, loan.count }, until };
    }
    return began;
}

void FleetShare::expireLoans(base::Instant now)
{
    std::erase_if(m_lastUse, [&](const auto& entry) { return now - entry.second >= idleTime; });
    std::erase_if(m_lastWanted, [&](const auto& entry) { return now - entry.second >= wantTime; });
    std::erase_if(m_requestsSent, [&](base::Instant sent) { return sent + loanTime <= now; });
    std::erase_if(m_lent, [&](const auto& entry) { return entry.second.until <= now; });
    for (auto& [resource, lenders] : m_borrowed)
        std::erase_if(lenders, [&](const auto& entry) { return entry.second.until <= now; });
    std::erase_if(m_borrowed, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace toucanstep::upstreams
