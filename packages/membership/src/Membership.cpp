#include "toucanstep/membership/Membership.h"

#include <algorithm>

namespace toucanstep::membership {

namespace {

constexpr uint32_t halfOfBuckets = digestBuckets / 2;
// Of so many digests of a gateway one goes to a sidecar, so that also those are found gone whose own gateways died.
constexpr uint64_t digestsPerSidecarProbe = 8;
constexpr int64_t partsOfInterval = 1024;
// What pushes leave of a tick's budget, and what one answer to a digest may take, are one part of so many.
constexpr size_t partsOfBudget = 4;
// What encoding adds to the entries of a delta, at most.
constexpr size_t deltaOverhead = 160;
constexpr uint64_t hashStart = 14695981039346656037ULL;
constexpr uint64_t hashPrime = 1099511628211ULL;

// FNV-1a: the same on every node, and no defence against hostile names, which the fleet's own secret keeps out.
uint64_t mix(uint64_t hash, std::string_view text)
{
    for (unsigned char character : text)
        hash = (hash ^ character) * hashPrime;
    return (hash ^ 0xff) * hashPrime;
}

uint64_t mix(uint64_t hash, uint64_t number)
{
    for (int shift = 0; shift < 64; shift += 8)
        hash = (hash ^ ((number >> shift) & 0xff)) * hashPrime;
    return hash;
}

// Spreads the last characters over all bits; without it names that differ only there would rank alike.
uint64_t finish(uint64_t hash)
{
    hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccdULL;
    hash = (hash ^ (hash >> 33)) * 0xc4ceb9fe1a85ec53ULL;
    return hash ^ (hash >> 33);
}

uint32_t fold(uint64_t hash) { return static_cast<uint32_t>(hash ^ (hash >> 32)); }

uint32_t instanceHash(const base::InstanceId& instance) { return fold(mix(hashStart, instance.value())); }

uint32_t versionHash(const Entry& entry)
{
    uint64_t hash = mix(hashStart, static_cast<uint64_t>(entry.version.start.value()));
    hash = mix(hash, static_cast<uint64_t>(entry.version.counter));
    return fold(mix(hash, static_cast<uint64_t>(entry.state)));
}

uint32_t pairHash(const Versions::Item& item)
{
    return fold(mix(mix(hashStart, uint64_t(item.instanceHash)), uint64_t(item.versionHash)));
}

size_t bucketOf(const Entry& entry, uint32_t hash)
{
    return hash % halfOfBuckets + (entry.role == Role::Sidecar ? halfOfBuckets : 0);
}

// Whether `next` is to replace `known`. Of the same version the later state wins, so that a declaration of being gone
// holds until the member itself raises its version.
bool supersedes(const Entry& next, const Entry& known)
{
    if (next.version != known.version)
        return next.version > known.version;
    return next.state > known.state;
}

void cutToBounds(Hints& hints)
{
    if (hints.shares.size() > maximumShares)
        hints.shares.resize(maximumShares);
    if (hints.strikes.size() > maximumStrikes)
        hints.strikes.resize(maximumStrikes);
}

} // namespace

Membership::Membership(MembershipOptions options, Entry self, std::vector<Peer> seeds, base::Instant now)
    : m_options(options)
    , m_self(self.instance)
    , m_role(self.role)
    , m_seeds(std::move(seeds))
    , m_buckets(digestBuckets, 0)
    , m_bucketMembers(digestBuckets)
{
    self.version.counter = 1;
    cutToBounds(self.hints);
    store(std::move(self), now);
}

std::vector<AddressedMessage> Membership::tick(base::Instant now, RandomGenerator& random)
{
    Messages messages;
    m_spent = 0;
    m_firstBucket = random() % digestBuckets;
    applyHints(now);
    dropTombstones(now);
    checkProbes(now, messages);
    probeSilentSidecar(now, messages);
    bool isDue = !isSidecar() || m_isBehind || m_fresh.contains(m_self) || m_ticks % m_options.sidecarTickDivisor == 0;
    ++m_ticks;
    if (!isDue)
        return messages;
    m_isBehind = false;
    std::vector<Peer> peers = choosePeers(random);
    for (const Peer& peer : peers) {
        pushFresh(peer, messages);
        sendDigest(peer, now, messages);
    }
    if (!peers.empty())
        countPush();
    return messages;
}

std::vector<AddressedMessage> Membership::onMessage(const Message& message, base::Instant now)
{
    Messages answers;
    base::InstanceId from = std::visit([](const auto& typed) { return typed.from; }, message);
    m_heardAt[from] = now;
    if (m_probes.erase(from))
        noteProbe(true);
    if (const auto* digest = std::get_if<Digest>(&message)) {
        const Entry* sender = find(from);
        if (!isSidecar() && sender && sender->role == Role::Sidecar)
            m_registered[from] = now;
        answerDigest(*digest, answers);
    } else if (const auto* versions = std::get_if<Versions>(&message)) {
        answerVersions(*versions, answers);
    } else {
        for (const Entry& entry : std::get<Delta>(message).entries)
            merge(entry, now);
    }
    return answers;
}

void Membership::setState(MemberState state, base::Instant now)
{
    Entry changed = self();
    changed.state = state;
    changeSelf(std::move(changed), now);
}

void Membership::setHints(Hints hints)
{
    cutToBounds(hints);
    m_newHints = std::move(hints);
}

std::vector<AddressedMessage> Membership::announce() const
{
    std::vector<Peer> gateways = peersOfRole(Role::Gateway);
    // Starts behind the own place in the order, so that nodes that leave together tell different gateways.
    auto next = std::find_if(gateways.begin(), gateways.end(), [&](const Peer& peer) { return peer.instance > m_self; });
    std::rotate(gateways.begin(), next, gateways.end());
    gateways.resize(std::min(gateways.size(), announcementLimit));
    Messages messages;
    for (const Peer& peer : gateways)
        messages.push_back({ peer.instance, peer.address, Delta { m_self, { self() } } });
    return messages;
}

const Entry& Membership::self() const
{
    return m_known.at(m_self).entry;
}

const Entry* Membership::find(const base::InstanceId& instance) const
{
    auto found = m_known.find(instance);
    return found == m_known.end() ? nullptr : &found->second.entry;
}

std::vector<Entry> Membership::members() const
{
    std::vector<Entry> members;
    for (const auto& [instance, known] : m_known) {
        if (known.entry.state != MemberState::Gone)
            members.push_back(known.entry);
    }
    return members;
}

bool Membership::heardWithin(const base::InstanceId& instance, base::Duration duration, base::Instant now) const
{
    auto found = m_heardAt.find(instance);
    return found != m_heardAt.end() && now - found->second <= duration;
}

bool Membership::keeps(const Entry& entry) const
{
    return !isSidecar() || entry.role == Role::Gateway || entry.instance == m_self;
}

void Membership::merge(const Entry& entry, base::Instant now)
{
    if (entry.instance == m_self) {
        mergeOwn(entry, now);
        return;
    }
    if (!keeps(entry))
        return;
    auto found = m_known.find(entry.instance);
    // A tombstone of somebody unknown is of no use, and taking it in would keep tombstones going round for ever.
    bool isNews = found == m_known.end() ? entry.state != MemberState::Gone : supersedes(entry, found->second.entry);
    if (isNews)
        store(entry, now);
}

// Somebody declared this process gone, or speaks of a predecessor whose start was the same.
void Membership::mergeOwn(const Entry& entry, base::Instant now)
{
    if (entry.version.start != self().version.start || !supersedes(entry, self()))
        return;
    Entry changed = self();
    changed.version.counter = entry.version.counter;
    changeSelf(std::move(changed), now);
}

void Membership::list(const Known& known)
{
    size_t bucket = bucketOf(known.entry, known.item.instanceHash);
    m_bucketMembers[bucket].insert(known.entry.instance);
    if (known.entry.state == MemberState::Gone) {
        m_tombstones.insert(known.entry.instance);
        return;
    }
    m_buckets[bucket] ^= pairHash(known.item);
    auto& live = m_live[static_cast<size_t>(known.entry.role)];
    live.insert(std::lower_bound(live.begin(), live.end(), known.entry.instance), known.entry.instance);
}

void Membership::unlist(const Known& known)
{
    size_t bucket = bucketOf(known.entry, known.item.instanceHash);
    m_bucketMembers[bucket].erase(known.entry.instance);
    m_tombstones.erase(known.entry.instance);
    if (known.entry.state == MemberState::Gone)
        return;
    m_buckets[bucket] ^= pairHash(known.item);
    auto& live = m_live[static_cast<size_t>(known.entry.role)];
    live.erase(std::lower_bound(live.begin(), live.end(), known.entry.instance));
}

void Membership::store(Entry entry, base::Instant now)
{
    base::InstanceId instance = entry.instance;
    auto found = m_known.find(instance);
    if (found != m_known.end())
        unlist(found->second);
    Versions::Item item { instanceHash(instance), versionHash(entry) };
    Known& known = m_known[instance];
    known = { std::move(entry), item, now };
    list(known);
    m_fresh[instance] = m_options.pushes;
    if (known.entry.state == MemberState::Gone)
        m_probes.erase(instance);
}

void Membership::countPush()
{
    for (auto item = m_fresh.begin(); item != m_fresh.end();)
        item = --item->second > 0 ? std::next(item) : m_fresh.erase(item);
}

void Membership::changeSelf(Entry changed, base::Instant now)
{
    ++changed.version.counter;
    store(std::move(changed), now);
}

// Failure guarded against: a new configuration changes the hints of all nodes in the same second; told at once by all, they
// would fill every node's budget for a minute. So each waits for its own part of the interval.
bool Membership::mayTellHints(base::Instant now)
{
    if (m_newHints->strikes != self().hints.strikes)
        return true;
    if (!m_hintsChangedAt)
        m_hintsChangedAt = now;
    // A sidecar does not know how many others there are.
    base::Duration interval = isSidecar() ? m_options.sidecarHintInterval : m_options.hintIntervalPerMember * static_cast<int64_t>(m_known.size());
    base::Duration ownPart = interval / partsOfInterval * (instanceHash(m_self) % partsOfInterval);
    bool toldLately = m_hintsToldAt && now < *m_hintsToldAt + interval;
    return !toldLately && now >= *m_hintsChangedAt + ownPart;
}

void Membership::applyHints(base::Instant now)
{
    if (!m_newHints || *m_newHints == self().hints || !mayTellHints(now))
        return;
    Entry changed = self();
    changed.hints = *m_newHints;
    m_newHints.reset();
    m_hintsChangedAt.reset();
    m_hintsToldAt = now;
    changeSelf(std::move(changed), now);
}

void Membership::dropTombstones(base::Instant now)
{
    for (auto item = m_tombstones.begin(); item != m_tombstones.end();) {
        base::InstanceId instance = *item++;
        const Known& known = m_known.at(instance);
        if (instance == m_self || now - known.changedAt < m_options.tombstoneLifetime)
            continue;
        unlist(known);
        m_known.erase(instance);
        m_fresh.erase(instance);
        m_heardAt.erase(instance);
    }
}

// A sidecar that registered here and then fell silent is asked whether it lives; waiting for a chance probe would leave a
// dead one among the ready for minutes.
void Membership::probeSilentSidecar(base::Instant now, Messages& messages)
{
    for (auto item = m_registered.begin(); item != m_registered.end(); ++item) {
        if (now - item->second < m_options.sidecarSilence)
            continue;
        base::InstanceId instance = item->first;
        m_registered.erase(item);
        const Entry* entry = find(instance);
        if (entry && entry->state != MemberState::Gone)
            sendDigest({ instance, entry->address }, now, messages);
        return;
    }
}

void Membership::checkProbes(base::Instant now, Messages& messages)
{
    std::vector<base::InstanceId> silent;
    for (auto& [instance, probe] : m_probes) {
        if (now - probe.sentAt >= m_options.answerTimeout)
            silent.push_back(instance);
    }
    for (const base::InstanceId& instance : silent) {
        Probe& probe = m_probes.at(instance);
        if (++probe.unanswered < m_options.unansweredLimit) {
            sendDigest({ instance, addressOf(instance) }, now, messages);
            continue;
        }
        m_probes.erase(instance);
        noteProbe(false);
        declareGone(instance, now);
    }
}

// Failure guarded against: a node that is cut off hears from nobody, and would tell all others, once it is back, that
// everybody is gone. So it declares nobody gone while most of its own probes fail.
void Membership::declareGone(const base::InstanceId& instance, base::Instant now)
{
    auto found = m_known.find(instance);
    if (isSidecar() || !othersAnswer() || found == m_known.end() || found->second.entry.state == MemberState::Gone)
        return;
    Entry gone = found->second.entry;
    gone.state = MemberState::Gone;
    store(std::move(gone), now);
}

void Membership::noteProbe(bool answered)
{
    m_probeResults = static_cast<uint8_t>(m_probeResults << 1 | (answered ? 1 : 0));
}

bool Membership::othersAnswer() const
{
    return __builtin_popcount(m_probeResults) * 2 >= 8;
}

std::string Membership::addressOf(const base::InstanceId& instance) const
{
    if (const Entry* entry = find(instance))
        return entry->address;
    auto seed = std::find_if(m_seeds.begin(), m_seeds.end(), [&](const Peer& peer) { return peer.instance == instance; });
    return seed == m_seeds.end() ? std::string() : seed->address;
}

bool Membership::send(const Peer& to, Message message, Messages& messages)
{
    size_t size = encodeMessage(message).size();
    if (m_spent + size > m_options.bytesPerTick)
        return false;
    m_spent += size;
    messages.push_back({ to.instance, to.address, std::move(message) });
    return true;
}

void Membership::sendDigest(const Peer& peer, base::Instant now, Messages& messages)
{
    if (!send(peer, Digest { m_self, self().hints.configuration, m_buckets }, messages))
        return;
    // Of a seed only the address is known; its answer carries an instance that can't be matched to the digest.
    if (find(peer.instance))
        m_probes[peer.instance].sentAt = now;
}

void Membership::sendEntries(const Peer& to, const std::vector<const Known*>& entries, size_t limit, Messages& messages)
{
    Delta delta { .from = m_self };
    size_t size = deltaOverhead;
    for (const Known* known : entries) {
        size_t entrySize = encodedSize(known->entry);
        if (m_spent + size + entrySize > limit || delta.entries.size() == maximumEntries)
            break;
        size += entrySize;
        delta.entries.push_back(known->entry);
    }
    if (!delta.entries.empty())
        send(to, std::move(delta), messages);
}

void Membership::pushFresh(const Peer& peer, Messages& messages)
{
    const Entry* receiver = find(peer.instance);
    bool toSidecar = receiver && receiver->role == Role::Sidecar;
    std::vector<const Known*> fresh;
    for (const auto& [instance, pushesLeft] : m_fresh) {
        const Known& known = m_known.at(instance);
        bool isOwn = instance == m_self;
        bool passesOn = isOwn || (!isSidecar() && (!toSidecar || known.entry.role == Role::Gateway));
        if (passesOn && instance != peer.instance)
            fresh.push_back(&known);
    }
    // The own entry first, then what has been passed on least, as the byte budget may not allow for all.
    std::stable_sort(fresh.begin(), fresh.end(), [&](const Known* left, const Known* right) {
        bool leftIsOwn = left->entry.instance == m_self;
        bool rightIsOwn = right->entry.instance == m_self;
        if (leftIsOwn != rightIsOwn)
            return leftIsOwn;
        return m_fresh.at(left->entry.instance) > m_fresh.at(right->entry.instance);
    });
    // Some of the budget stays for answers until the next tick.
    sendEntries(peer, fresh, m_options.bytesPerTick - m_options.bytesPerTick / partsOfBudget, messages);
}

std::vector<Peer> Membership::peersOfRole(Role role) const
{
    std::vector<Peer> peers;
    for (const base::InstanceId& instance : m_live[static_cast<size_t>(role)]) {
        if (instance != m_self)
            peers.push_back({ instance, m_known.at(instance).entry.address });
    }
    return peers;
}

// The gateways whose hash together with the sidecar's own is highest: sidecars spread evenly, and keep their gateways
// when others come or go.
std::vector<Peer> Membership::gatewaysOfSidecar() const
{
    using Ranked = std::pair<uint64_t, const base::InstanceId*>;
    std::vector<Ranked> ranked;
    for (const base::InstanceId& instance : m_live[static_cast<size_t>(Role::Gateway)])
        ranked.push_back({ finish(mix(mix(hashStart, instance.value()), m_self.value())), &instance });
    if (ranked.empty())
        return m_seeds;
    size_t count = std::min<size_t>(ranked.size(), m_options.gatewaysPerSidecar);
    auto higher = [](const Ranked& left, const Ranked& right) { return left.first > right.first; };
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(count), ranked.end(), higher);
    std::vector<Peer> gateways;
    for (size_t index = 0; index < count; ++index)
        gateways.push_back({ *ranked[index].second, m_known.at(*ranked[index].second).entry.address });
    return gateways;
}

Peer Membership::randomPeer(Role role, RandomGenerator& random) const
{
    const auto& live = m_live[static_cast<size_t>(role)];
    // Seeds are asked also later on, so that halves of a fleet that lost each other for long meet again.
    uint64_t choice = random() % (live.size() + m_seeds.size() + 1);
    if (choice < live.size())
        return { live[choice], m_known.at(live[choice]).entry.address };
    return m_seeds.empty() ? Peer {} : m_seeds[random() % m_seeds.size()];
}

std::vector<Peer> Membership::choosePeers(RandomGenerator& random)
{
    std::vector<Peer> chosen;
    for (int count = 0; count < m_options.fanOut; ++count) {
        bool isEighth = random() % digestsPerSidecarProbe == 0;
        Role role = isEighth && !isSidecar() && !m_live[static_cast<size_t>(Role::Sidecar)].empty() ? Role::Sidecar : Role::Gateway;
        Peer peer = randomPeer(role, random);
        if (isSidecar() && !isEighth) {
            std::vector<Peer> gateways = gatewaysOfSidecar();
            peer = gateways.empty() ? Peer {} : gateways[random() % gateways.size()];
        }
        bool isNobody = peer.address.empty() || peer.instance == m_self || peer.address == self().address;
        bool isChosen = std::any_of(chosen.begin(), chosen.end(), [&](const Peer& other) { return other.address == peer.address; });
        if (!isNobody && !isChosen)
            chosen.push_back(peer);
    }
    return chosen;
}

std::vector<uint32_t> Membership::differingBuckets(const Digest& digest) const
{
    const Entry* sender = find(digest.from);
    bool onlyGateways = isSidecar() || !sender || sender->role == Role::Sidecar;
    uint32_t end = onlyGateways ? halfOfBuckets : digestBuckets;
    std::vector<uint32_t> differing;
    for (uint32_t offset = 0; offset < end && differing.size() < m_options.bucketsPerExchange; ++offset) {
        uint32_t bucket = static_cast<uint32_t>(m_firstBucket + offset) % end;
        if (digest.buckets[bucket] != m_buckets[bucket])
            differing.push_back(bucket);
    }
    return differing;
}

void Membership::answerDigest(const Digest& digest, Messages& answers)
{
    if (digest.buckets.size() != digestBuckets)
        return;
    Versions versions { .from = m_self };
    // Failure guarded against: all buckets that differ are together larger than what the budget leaves, so nothing is sent
    // and the peer never catches up. Few buckets at a time always fit.
    size_t itemLimit = m_options.bytesPerTick / partsOfBudget / sizeof(Versions::Item);
    for (uint32_t bucket : differingBuckets(digest)) {
        const auto& members = m_bucketMembers[bucket];
        if (!versions.buckets.empty() && versions.items.size() + members.size() > itemLimit)
            break;
        versions.buckets.push_back(bucket);
        // Tombstones too: whoever still has that member as ready learns only so that it is gone.
        for (const base::InstanceId& instance : members)
            versions.items.push_back(m_known.at(instance).item);
    }
    std::sort(versions.items.begin(), versions.items.end());
    Peer sender { digest.from, addressOf(digest.from) };
    if (send(sender, std::move(versions), answers))
        return;
    // The sign of life is small and goes out also when nothing else fits.
    answers.push_back({ sender.instance, sender.address, Versions { .from = m_self } });
}

const Membership::Known* Membership::findItem(const Versions::Item& item) const
{
    uint32_t bucket = item.instanceHash % halfOfBuckets;
    for (uint32_t candidate : { bucket, bucket + halfOfBuckets }) {
        for (const base::InstanceId& instance : m_bucketMembers[candidate]) {
            const Known& known = m_known.at(instance);
            if (known.item == item)
                return &known;
        }
    }
    return nullptr;
}

void Membership::answerVersions(const Versions& versions, Messages& answers)
{
    // More buckets may differ than one exchange settles.
    m_isBehind = versions.buckets.size() > 1;
    std::set<Versions::Item> theirs(versions.items.begin(), versions.items.end());
    std::set<uint32_t> theirInstances;
    for (const auto& item : versions.items)
        theirInstances.insert(item.instanceHash);
    std::set<Versions::Item> ours;
    std::vector<const Known*> lacking;
    for (uint32_t bucket : versions.buckets) {
        for (const base::InstanceId& instance : m_bucketMembers[bucket % digestBuckets]) {
            const Known& known = m_known.at(instance);
            ours.insert(known.item);
            bool isGone = known.entry.state == MemberState::Gone;
            bool isKnownThere = theirInstances.contains(known.item.instanceHash);
            if (!theirs.contains(known.item) && (!isGone || isKnownThere))
                lacking.push_back(&known);
        }
    }
    for (const Versions::Item& item : versions.wanted) {
        if (const Known* known = findItem(item))
            lacking.push_back(known);
    }
    Versions request { .from = m_self };
    for (const auto& item : theirs) {
        if (!ours.contains(item))
            request.wanted.push_back(item);
    }
    Peer sender { versions.from, addressOf(versions.from) };
    if (!request.wanted.empty())
        send(sender, std::move(request), answers);
    sendEntries(sender, lacking, m_options.bytesPerTick, answers);
}

} // namespace toucanstep::membership
