#include "FleetModel.h"

#include "toucanstep/testing/Property.h"

using namespace toucanstep::assignments;
using namespace toucanstep::assignments::test;
using std::chrono::milliseconds;
using std::chrono::seconds;
using toucanstep::base::Duration;
using toucanstep::base::Instant;
using toucanstep::testing::counterexample;
using toucanstep::testing::PropertyOptions;

namespace {

// Clocks that differ by up to ten percent, so that drift has an effect within a short history.
Timing driftingTiming()
{
    Timing timing;
    timing.driftPartsPerMillion = 50'000;
    timing.voterLimit = seconds(30);
    return timing;
}

struct History {
    std::vector<FleetCommand> commands;
    uint64_t seed = 1;
    bool versionedList = true;
};

std::ostream& operator<<(std::ostream& stream, const History& history)
{
    stream << "seed " << history.seed << " versioned " << history.versionedList << ":";
    for (const auto& command : history.commands)
        stream << " {" << static_cast<int>(command.action) << ", " << command.slot << ", " << toucanstep::base::toMilliseconds(command.runFor) << "}";
    return stream;
}

using Commands = std::vector<FleetCommand>;

rc::Gen<Duration> quarterSeconds(int from, int to)
{
    return rc::gen::map(rc::gen::inRange(from * 4, to * 4), [](int quarters) -> Duration { return milliseconds(250 * quarters); });
}

rc::Gen<Commands> anyCommand()
{
    // Run is the most frequent action, to give the effects of a fault time to appear.
    auto action = rc::gen::weightedOneOf<FleetAction>({
        { 6, rc::gen::just(FleetAction::Run) },
        { 2, rc::gen::element(FleetAction::Crash, FleetAction::Restart, FleetAction::Pause, FleetAction::Resume, FleetAction::Heal) },
        { 4, rc::gen::element(FleetAction::Replace, FleetAction::ReplaceAndCut, FleetAction::ReplaceAndCut, FleetAction::ReplaceAndCrash) },
        { 2, rc::gen::element(FleetAction::CutFromPeers, FleetAction::CutFromService, FleetAction::CutFromList) },
        { 1, rc::gen::element(FleetAction::StartOutage, FleetAction::EndOutage, FleetAction::EndOutage) },
        { 2, rc::gen::element(FleetAction::Release, FleetAction::HandOver) },
    });
    auto command = rc::gen::construct<FleetCommand>(action, rc::gen::inRange<size_t>(0, 5), quarterSeconds(0, 15));
    return rc::gen::map(command, [](const FleetCommand& one) { return Commands { one }; });
}

// A dropped process that keeps running, with a second fault around the time its rows move.
rc::Gen<Commands> droppedProcess()
{
    return rc::gen::exec([] {
        size_t slot = *rc::gen::inRange<size_t>(0, 5);
        auto fault = *rc::gen::element(FleetAction::StartOutage, FleetAction::CutFromService, FleetAction::Pause, FleetAction::Run);
        auto repair = *rc::gen::element(FleetAction::Heal, FleetAction::Resume);
        return Commands { { FleetAction::ReplaceAndCut, slot, *quarterSeconds(4, 24) }, { fault, slot, *quarterSeconds(0, 3) }, { repair, slot, *quarterSeconds(4, 14) }, { FleetAction::EndOutage, slot, *quarterSeconds(4, 14) } };
    });
}

// A process that is dropped while it can reach only the service, and then loses the service too.
rc::Gen<Commands> droppedWithStoreAccessOnly()
{
    return rc::gen::exec([] {
        size_t slot = *rc::gen::inRange<size_t>(0, 5);
        return Commands { { FleetAction::CutFromList, slot, {} }, { FleetAction::CutFromPeers, slot, *quarterSeconds(0, 4) }, { FleetAction::Replace, slot, *quarterSeconds(15, 27) }, { FleetAction::CutFromService, slot, *quarterSeconds(8, 14) }, { FleetAction::Heal, slot, *quarterSeconds(0, 4) } };
    });
}

// A release that may still be in transit when a new process starts on the same instance.
rc::Gen<Commands> restartAfterRelease()
{
    return rc::gen::exec([] {
        size_t slot = *rc::gen::inRange<size_t>(0, 5);
        return Commands { { FleetAction::Release, slot, {} }, { FleetAction::Restart, slot, *quarterSeconds(1, 5) }, { FleetAction::CutFromService, slot, *quarterSeconds(10, 40) }, { FleetAction::Heal, slot, *quarterSeconds(0, 4) } };
    });
}

// A release that may still be in transit while its sender cannot read the service.
rc::Gen<Commands> releaseWhileCut()
{
    return rc::gen::exec([] {
        size_t slot = *rc::gen::inRange<size_t>(0, 5);
        return Commands { { FleetAction::Release, slot, *quarterSeconds(0, 2) }, { FleetAction::CutFromService, slot, *quarterSeconds(10, 40) }, { FleetAction::Heal, slot, *quarterSeconds(0, 4) } };
    });
}

rc::Gen<History> historiesOf(const rc::Gen<Commands>& part)
{
    auto commands = rc::gen::map(rc::gen::container<std::vector<Commands>>(part), [](const std::vector<Commands>& parts) {
        Commands all;
        for (const auto& one : parts)
            all.insert(all.end(), one.begin(), one.end());
        return all;
    });
    return rc::gen::construct<History>(commands, rc::gen::inRange<uint64_t>(1, 1'000'000), rc::gen::arbitrary<bool>());
}

rc::Gen<Commands> anyCommands()
{
    return rc::gen::weightedOneOf<Commands>({ { 8, anyCommand() }, { 1, droppedProcess() }, { 1, droppedWithStoreAccessOnly() }, { 1, restartAfterRelease() }, { 1, releaseWhileCut() } });
}

FleetOptions optionsOf(const History& history, const ComponentFactory* components)
{
    FleetOptions options;
    options.timing = driftingTiming();
    options.seed = history.seed;
    options.versionedList = history.versionedList;
    options.components = components;
    return options;
}

// Runs the history and returns its violation, or an empty string.
std::string runHistory(const History& history, const ComponentFactory* components, int* takeovers = nullptr)
{
    Fleet fleet(optionsOf(history, components));
    fleet.run(seconds(10));
    for (const auto& command : history.commands)
        fleet.perform(command);
    fleet.run(seconds(60));
    if (takeovers)
        *takeovers += fleet.takeovers();
    return fleet.violation();
}

// Searches for a violation caused by a fault, in histories built from the given commands.
std::string findViolation(const ComponentFactory& components, const rc::Gen<Commands>& part)
{
    return counterexample(PropertyOptions { .seed = 5, .maxSuccess = 400, .maxSize = 20 }, [&] {
        auto history = *rc::gen::noShrink(historiesOf(part));
        RC_ASSERT(runHistory(history, &components).empty());
    });
}

// Seeded faults that the histories must detect.

class ServiceReadCounts final : public HolderState {
public:
    using HolderState::HolderState;

protected:
    std::optional<Instant> newestEvidence() const override { return std::max(HolderState::newestEvidence(), serviceEvidence()); }
};

class NeverStops final : public HolderState {
public:
    using HolderState::HolderState;

protected:
    std::optional<Instant> newestEvidence() const override { return HolderState::newestEvidence() ? std::optional(Instant::max() - timing().holderLimit) : std::nullopt; }
};

class KeepsReleasedRows final : public HolderState {
public:
    using HolderState::HolderState;
    void relinquish(const Row&) override { }
};

class UsesPredecessorsRows final : public HolderState {
public:
    using HolderState::HolderState;
    bool mayUse(const Row& row, Instant now) const override
    {
        Row own = row;
        if (row.holder.instance == self().instance)
            own.holder = self();
        return HolderState::mayUse(own, now);
    }
};

class IgnoresListLag final : public FailureDetector {
public:
    using FailureDetector::FailureDetector;

protected:
    bool isAbsentLongEnough(const WatchedInstance& watched, Instant) const override { return watched.absentSince.has_value(); }
};

class NeedsNoPromise final : public FailureDetector {
public:
    using FailureDetector::FailureDetector;

protected:
    bool promisedByMajority(const WatchedInstance&, Instant) const override { return true; }
};

class TrustsOneAnswer final : public FailureDetector {
public:
    using FailureDetector::FailureDetector;

protected:
    bool isDropped(const WatchedInstance& watched) const override { return watched.absentSince.has_value(); }
    bool isAbsentLongEnough(const WatchedInstance& watched, Instant) const override { return watched.absentSince.has_value(); }
    bool promisedByMajority(const WatchedInstance& watched, Instant) const override { return !watched.replies.empty(); }
};

template <typename FaultyHolder>
class WithHolder : public ComponentFactory {
public:
    std::unique_ptr<HolderState> makeHolder(const Holder& self, const Timing& timing) const override { return std::make_unique<FaultyHolder>(self, timing); }
};

template <typename FaultyDetector>
class WithDetector final : public ComponentFactory {
public:
    std::unique_ptr<FailureDetector> makeDetector(const Timing& timing) const override { return std::make_unique<FaultyDetector>(timing); }
};

class WithoutAdoption final : public WithHolder<UsesPredecessorsRows> {
public:
    bool adoptsRows() const override { return false; }
};

} // namespace

TEST_GROUP(Histories) {};

TEST(Histories, AtMostOneProcessUsesARow)
{
    int takeovers = 0;
    CHECK_PROPERTY_WITH((PropertyOptions { .seed = 20261202, .maxSuccess = 300, .maxSize = 60 }), [&] {
        auto history = *historiesOf(anyCommands());
        auto violation = runHistory(history, nullptr, &takeovers);
        if (!violation.empty())
            RC_FAIL(violation);
    });
    // Without takeovers the property would prove nothing.
    CHECK_COMPARE(takeovers, >, 200);
}

TEST(Histories, AFaultWhereServiceReadsCountAsPresenceIsFound)
{
    CHECK_FALSE(findViolation(WithHolder<ServiceReadCounts>(), droppedWithStoreAccessOnly()).empty());
}

TEST(Histories, AFaultWhereAHolderNeverStopsIsFound)
{
    CHECK_FALSE(findViolation(WithHolder<NeverStops>(), droppedProcess()).empty());
}

TEST(Histories, AFaultWhereReleasedRowsAreKeptIsFound)
{
    CHECK_FALSE(findViolation(WithHolder<KeepsReleasedRows>(), releaseWhileCut()).empty());
}

TEST(Histories, AFaultWhereARestartUsesRowsWithoutRewritingThemIsFound)
{
    CHECK_FALSE(findViolation(WithoutAdoption(), restartAfterRelease()).empty());
}

TEST(Histories, AFaultWhereTheListsLagIsIgnoredIsFound)
{
    CHECK_FALSE(findViolation(WithDetector<IgnoresListLag>(), droppedProcess()).empty());
}

TEST(Histories, AFaultWhereVotersNeedNotPromiseIsFound)
{
    CHECK_FALSE(findViolation(WithDetector<NeedsNoPromise>(), droppedProcess()).empty());
}

TEST(Histories, AFaultWhereOneAnswerOfTheListIsEnoughIsFound)
{
    CHECK_FALSE(findViolation(WithDetector<TrustsOneAnswer>(), anyCommands()).empty());
}
