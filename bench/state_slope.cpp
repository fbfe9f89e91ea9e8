// Measures how the state of the decision libraries grows: rows, the text and its deltas, shares and charges.
//
// Runs the libraries themselves in this process. Bytes are what the allocator gave out, counted by this program's own
// operator new; times are processor time of this thread. Prints one JSON object a line. Usage: state_slope

#include "SlopeFit.h"
#include "toucanstep/assignments/AssignmentTable.h"
#include "toucanstep/base/Digest.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/config/Delta.h"
#include "toucanstep/config/Parser.h"
#include "toucanstep/limits/ChargeCoordinator.h"
#include "toucanstep/limits/ShareTable.h"

#include <cstdlib>
#include <ctime>
#include <deque>
#include <iostream>
#include <malloc.h>
#include <map>
#include <new>
#include <string>
#include <vector>

using namespace toucanstep;
using bench::SlopeFit;

namespace {
// The program has one thread.
int64_t bytesInUse = 0;
}

void* operator new(std::size_t size)
{
    void* memory = std::malloc(size);
    if (!memory)
        throw std::bad_alloc();
    bytesInUse += static_cast<int64_t>(malloc_usable_size(memory));
    return memory;
}

void operator delete(void* memory) noexcept
{
    bytesInUse -= static_cast<int64_t>(malloc_usable_size(memory));
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept { operator delete(memory); }

namespace {

double processorSeconds()
{
    timespec now {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    constexpr double nanosecondsPerSecond = 1e9;
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / nanosecondsPerSecond;
}

// Processor time of one call of `body`, as the least of several runs.
template <typename Body>
double secondsOf(const Body& body)
{
    constexpr int runs = 5;
    double least = 0;
    for (int run = 0; run < runs; ++run) {
        double before = processorSeconds();
        body();
        double spent = processorSeconds() - before;
        least = run ? std::min(least, spent) : spent;
    }
    return least;
}

void print(const nlohmann::json& line) { std::cout << line.dump() << std::endl; }

// ---- rows

base::RangeReply rowsOf(int count)
{
    base::RangeReply reply;
    reply.revision = base::Revision(1'000'000);
    for (int index = 0; index < count; ++index) {
        assignments::Row row;
        row.key = { assignments::RowKind::ReplicaSlot, base::concat("language-model-", index), 0 };
        row.holder = { base::InstanceId(base::concat("engine-", index % 1200)), assignments::StartNonce("5f2a9c01be77") };
        row.epoch = base::Epoch(900'000 + index);
        row.writer = assignments::WriteNonce(base::concat("gateway-17/5f2a9c01be77/", index));
        constexpr size_t payloadBytes = 40;
        row.payload = std::string(payloadBytes, 'p');
        base::Revision modified(900'000 + index);
        reply.entries.push_back({ storageKey(row.key), encodeRow(row), modified, modified });
    }
    return reply;
}

void measureRows()
{
    SlopeFit stored("row_stored_bytes", "rows");
    SlopeFit table("row_table_bytes", "rows");
    SlopeFit view("row_view_bytes", "rows");
    SlopeFit firstRead("row_first_read_ms", "rows");
    SlopeFit repeatedRead("row_repeated_read_ms", "rows");
    for (int rows : { 500, 1500, 4000, 8000 }) {
        base::RangeReply reply = rowsOf(rows);
        double bytes = 0;
        for (const base::KeyValue& entry : reply.entries)
            bytes += static_cast<double>(entry.key.size() + entry.value.size());
        stored.add(rows, bytes);
        int64_t before = bytesInUse;
        assignments::AssignmentTable known;
        known.applyRange(assignments::allRowsPrefix, reply);
        table.add(rows, static_cast<double>(bytesInUse - before));
        before = bytesInUse;
        std::vector<assignments::Row> copy = known.all();
        view.add(rows, static_cast<double>(bytesInUse - before));
        constexpr double milliseconds = 1000;
        firstRead.add(rows, milliseconds * secondsOf([&] { assignments::AssignmentTable().applyRange(assignments::allRowsPrefix, reply); }));
        repeatedRead.add(rows, milliseconds * secondsOf([&] { known.applyRange(assignments::allRowsPrefix, reply); }));
    }
    for (const SlopeFit* fit : { &stored, &table, &view, &firstRead, &repeatedRead })
        print(fit->json());
}

// ---- the text

struct TextSize {
    int models;
    int adapters;
    int accounts;
};

std::string makeText(const TextSize& size, int changedReplicas = 2)
{
    std::string text = "{\n  \"kinds\": { \"chat\": { \"weight\": 5, \"defaultTimeout\": \"25s\" } },\n  \"accounts\": {\n";
    for (int index = 0; index < size.accounts; ++index) {
        base::append(text, "    \"account-", index, "\": { \"tokensPerSecond\": 9000, \"burst\": 180000, \"weight\": 3, \"keys\": [{ \"sha256\": \"");
        base::append(text, base::sha256Hex(base::concat("key-", index)), "\", \"note\": \"desk\" }] },\n");
    }
    text += "  },\n  \"pools\": { \"language\": { \"kind\": \"engines\", \"listName\": \"language\", \"memory\": \"80GiB\", \"slots\": 32, \"tokensPerSecond\": 45 } },\n  \"models\": {\n";
    for (int index = 0; index < size.models; ++index) {
        int replicas = index == size.models / 2 ? changedReplicas : 2;
        base::append(text, "    \"language-model-", index, "\": { \"pool\": \"language\", \"kind\": \"chat\", \"memory\": \"16GiB\", \"checkpoint\": \"14GiB\", \"maximumReplicas\": ", replicas, " },\n");
    }
    for (int index = 0; index < size.adapters; ++index)
        base::append(text, "    \"adapter-", index, "\": { \"pool\": \"language\", \"kind\": \"chat\", \"baseModel\": \"language-model-", index % size.models, "\", \"memory\": \"200MiB\", \"checkpoint\": \"180MiB\" },\n");
    text += "  },\n  \"services\": {},\n  \"loads\": { \"concurrentLoads\": 4, \"adaptersInFlight\": 30, \"remoteBytesPerSecond\": \"8GiB\", \"diskBytesPerSecond\": \"16GiB\", \"memoryBytesPerSecond\": \"64GiB\" }\n}\n";
    return text;
}

void measureText()
{
    SlopeFit bytes("text_bytes", "models_and_adapters");
    SlopeFit parse("text_parse_ms", "models_and_adapters");
    SlopeFit state("text_state_bytes", "models_and_adapters");
    SlopeFit delta("text_delta_bytes", "models_and_adapters");
    SlopeFit make("text_delta_make_ms", "models_and_adapters");
    SlopeFit apply("text_delta_apply_ms", "models_and_adapters");
    constexpr double milliseconds = 1000;
    for (const TextSize& size : { TextSize { 55, 115, 40 }, { 300, 475, 40 }, { 600, 950, 40 }, { 1200, 1900, 40 } }) {
        std::string before = makeText(size);
        std::string after = makeText(size, 3);
        double models = size.models + size.adapters;
        int64_t used = bytesInUse;
        auto parsed = config::parseConfiguration("text", before);
        if (!parsed.configuration) {
            std::cerr << parsed.findings.render().substr(0, 2000);
            std::exit(1);
        }
        state.add(models, static_cast<double>(bytesInUse - used));
        bytes.add(models, static_cast<double>(before.size()));
        parse.add(models, milliseconds * secondsOf([&] { config::parseConfiguration("text", before); }));
        config::VersionedText from { base::Revision(1), before };
        config::VersionedText to { base::Revision(2), after };
        config::Delta difference = config::makeDelta(from, to);
        delta.add(models, static_cast<double>(config::encodeDelta(difference).size()));
        make.add(models, milliseconds * secondsOf([&] { config::makeDelta(from, to); }));
        apply.add(models, milliseconds * secondsOf([&] {
            base::Error error;
            if (!base::valueOr(error, [&] { return config::applyDelta(difference, before); }))
                std::exit(1);
        }));
    }
    for (const SlopeFit* fit : { &bytes, &parse, &state, &delta, &make, &apply })
        print(fit->json());
}

// ---- limits

const base::ClientAccountId chargedAccount("account");
const base::Instant start { std::chrono::hours(1) };

struct ChargeCost {
    double nanoseconds = 0;
    double messages = 0;
    double remoteMessages = 0;
};

// One account cut into shares at as many gateways; every request is charged at the first of them. Requests take turns
// between such as one share holds and, each `largeEvery`, such as needs parts of all shares.
ChargeCost chargeAccount(int shares, int largeEvery)
{
    limits::BucketLimits whole { base::Tokens(3'000'000), base::Tokens(6'000'000) };
    std::vector<limits::ShareTable> tables(static_cast<size_t>(shares));
    std::vector<limits::ShareView> views;
    auto slices = limits::splitLimits(whole, shares);
    std::map<base::InstanceId, size_t> places;
    base::Instant now = start;
    for (int index = 0; index < shares; ++index) {
        auto place = static_cast<size_t>(index);
        base::InstanceId holder(base::concat("gateway-", index));
        places[holder] = place;
        tables[place].take({ chargedAccount, index }, base::Epoch(1), slices[place], now);
    }
    now += std::chrono::seconds(10);
    for (const auto& [holder, place] : places) {
        for (const limits::ShareHint& hint : tables[place].hints(now))
            views.push_back({ holder, hint, now });
    }
    const base::InstanceId self("gateway-0");
    constexpr int requests = 20'000;
    int64_t messages = 0;
    int64_t remote = 0;
    double before = processorSeconds();
    for (int request = 0; request < requests; ++request) {
        now += std::chrono::milliseconds(100);
        bool large = largeEvery && request % largeEvery == 0;
        base::Tokens cost(large ? 6'000'000 / shares + 1000 : 1500);
        limits::ChargeOptions options { .self = self };
        limits::ChargeCoordinator planner(options, { base::RequestId(base::concat("r", request)), chargedAccount, cost, now + std::chrono::seconds(1) }, views);
        auto started = planner.start(now);
        std::deque<limits::AddressedMessage> queue(started.begin(), started.end());
        while (!queue.empty()) {
            limits::AddressedMessage next = queue.front();
            queue.pop_front();
            ++messages;
            remote += next.to != self;
            limits::ShareTable& table = tables[places.at(next.to)];
            if (const auto* charge = std::get_if<limits::ChargeRequest>(&next.message)) {
                for (auto& message : planner.onReply(table.onCharge(*charge, now), now))
                    queue.push_back(message);
            } else if (const auto* back = std::get_if<limits::ChargeReturn>(&next.message))
                table.onReturn(*back, now);
            else
                table.onGatherUnlock(std::get<limits::GatherUnlock>(next.message));
        }
        views = planner.shares();
    }
    constexpr double nanoseconds = 1e9;
    return { nanoseconds * (processorSeconds() - before) / requests, static_cast<double>(messages) / requests, static_cast<double>(remote) / requests };
}

void measureLimits()
{
    SlopeFit time("charge_ns", "shares");
    SlopeFit messages("charge_messages_per_request", "shares");
    SlopeFit remote("charge_remote_messages_per_request", "shares");
    SlopeFit gathered("charge_messages_per_gathering", "shares");
    for (int shares : { 1, 2, 3, 5, 8 }) {
        ChargeCost cost = chargeAccount(shares, 0);
        time.add(shares, cost.nanoseconds);
        messages.add(shares, cost.messages);
        remote.add(shares, cost.remoteMessages);
        if (shares > 1)
            gathered.add(shares, chargeAccount(shares, 1).messages);
    }
    SlopeFit state("share_state_bytes", "shares_held");
    for (int accounts : { 100, 400, 1600 }) {
        int64_t before = bytesInUse;
        limits::ShareTable table;
        for (int account = 0; account < accounts; ++account)
            table.take({ base::ClientAccountId(base::concat("account-", account)), 0 }, base::Epoch(1), { base::Tokens(3000), base::Tokens(60'000) }, start);
        state.add(accounts, static_cast<double>(bytesInUse - before));
    }
    SlopeFit charges("share_charge_memory_bytes", "charges");
    limits::ShareTable table;
    table.take({ chargedAccount, 0 }, base::Epoch(1), { base::Tokens(1'000'000), base::Tokens(1'000'000'000) }, start);
    int64_t before = bytesInUse;
    int done = 0;
    for (int count : { 1000, 4000, 16'000, 64'000 }) {
        for (; done < count; ++done)
            table.onCharge({ limits::ChargeId(base::concat("gateway-17/5f2a9c01be77/", done)), { chargedAccount, 0 }, base::Epoch(1), base::Tokens(1), base::Tokens(1), {}, base::RequestId("r") }, start);
        charges.add(count, static_cast<double>(bytesInUse - before));
    }
    for (const SlopeFit* fit : { &time, &messages, &remote, &gathered, &state, &charges })
        print(fit->json());
}

} // namespace

int main()
{
    measureRows();
    measureText();
    measureLimits();
    return 0;
}
