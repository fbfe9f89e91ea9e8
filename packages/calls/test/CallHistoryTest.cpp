#include "CallModel.h"

#include "toucanstep/testing/Property.h"

using namespace toucanstep::calls;
using namespace toucanstep::calls::test;
using std::chrono::milliseconds;
using std::chrono::seconds;
using toucanstep::base::Duration;
using toucanstep::base::Instant;
using toucanstep::base::RanState;
using toucanstep::base::RefusalCode;
using toucanstep::testing::counterexample;
using toucanstep::testing::PropertyOptions;

namespace {

struct History {
    std::vector<ModelCommand> commands;
    uint64_t seed = 1;
};

std::ostream& operator<<(std::ostream& stream, const History& history)
{
    stream << "seed " << history.seed << ":";
    for (const auto& command : history.commands)
        stream << " {" << static_cast<int>(command.action) << ", " << command.index << ", " << toucanstep::base::toMilliseconds(command.then) << "}";
    return stream;
}

rc::Gen<History> histories()
{
    auto action = rc::gen::weightedOneOf<ModelAction>({
        { 8, rc::gen::just(ModelAction::Call) },
        { 1, rc::gen::just(ModelAction::CallWithOtherBody) },
        { 2, rc::gen::just(ModelAction::Run) },
        { 3, rc::gen::element(ModelAction::CrashSidecar, ModelAction::CrashGateway, ModelAction::PauseSidecar, ModelAction::Resume, ModelAction::Resume) },
        { 1, rc::gen::element(ModelAction::CutSidecar, ModelAction::Heal) },
        { 1, rc::gen::element(ModelAction::StartOutage, ModelAction::EndOutage, ModelAction::EndOutage) },
    });
    auto time = rc::gen::map(rc::gen::inRange(0, 40), [](int steps) -> Duration { return milliseconds(50 * steps); });
    auto command = rc::gen::construct<ModelCommand>(action, rc::gen::inRange<size_t>(0, 4), time);
    return rc::gen::construct<History>(rc::gen::container<std::vector<ModelCommand>>(command), rc::gen::inRange<uint64_t>(1, 1'000'000));
}

// What the histories came to, so that a property that refuses everything is not taken for one that holds.
struct Tally {
    int answered = 0;
    int repeated = 0;
    int notRun = 0;
    int mayHaveRun = 0;
};

void count(const CallModel& model, Tally& tally)
{
    for (const auto& request : model.requests()) {
        if (!request.result)
            continue;
        if (request.result->answer)
            ++(request.result->repeated ? tally.repeated : tally.answered);
        else
            ++(request.result->refusal->ran == RanState::NotRun ? tally.notRun : tally.mayHaveRun);
    }
}

std::string play(const History& history, const PartsFactory* parts, Tally* tally = nullptr)
{
    ModelOptions options;
    options.seed = history.seed;
    options.parts = parts;
    CallModel model(options);
    for (const auto& command : history.commands)
        model.perform(command);
    // What lies on its way arrives, and what was paused goes on.
    model.perform({ ModelAction::EndOutage, 0, {} });
    model.perform({ ModelAction::Heal, 0, {} });
    model.perform({ ModelAction::Resume, 0, seconds(40) });
    if (tally)
        count(model, *tally);
    return model.violation();
}

std::string findViolation(const PartsFactory& parts)
{
    return counterexample(PropertyOptions { .seed = 3, .maxSuccess = 400, .maxSize = 60 }, [&] {
        auto history = *rc::gen::noShrink(histories());
        RC_ASSERT(play(history, &parts).empty());
    });
}

// The faults that the histories must show.

class RunsOnALostClaim final : public CallExecutor {
public:
    using CallExecutor::CallExecutor;

protected:
    ExecutorActions onClaimLost(Call& call, Instant) override { return run(call); }
};

class RunsWhereTheClaimIsAbsent final : public CallExecutor {
public:
    using CallExecutor::CallExecutor;

protected:
    ExecutorActions onClaimAbsent(Call& call, Instant, UnixMilliseconds) override { return run(call); }
};

class RunsAnOpenClaimAgain final : public CallExecutor {
public:
    using CallExecutor::CallExecutor;

protected:
    ExecutorActions onOtherRecord(Call& call, const CallRecord& record, Instant now) override
    {
        if (record.state == RecordState::Claimed && record.body == call.dispatch.body)
            return run(call);
        return CallExecutor::onOtherRecord(call, record, now);
    }
};

class IgnoresTombstones final : public CallExecutor {
public:
    using CallExecutor::CallExecutor;

protected:
    ExecutorActions onOtherRecord(Call& call, const CallRecord& record, Instant now) override
    {
        return record.state == RecordState::Tombstone ? run(call) : CallExecutor::onOtherRecord(call, record, now);
    }
};

class RepeatsWithAnyBody final : public CallExecutor {
public:
    using CallExecutor::CallExecutor;

protected:
    ExecutorActions onOtherRecord(Call& call, const CallRecord& record, Instant now) override
    {
        CallRecord same = record;
        same.body = call.dispatch.body;
        return CallExecutor::onOtherRecord(call, same, now);
    }
};

class SaysNotRunWithoutTombstone final : public CallCoordinator {
public:
    using CallCoordinator::CallCoordinator;

protected:
    CoordinatorActions onLost(Call& call, Instant now, UnixMilliseconds) override { return refuse(call, RefusalCode::UpstreamFailed, RanState::NotRun, "", now); }
};

template <typename Executor>
class WithExecutor final : public PartsFactory {
public:
    std::unique_ptr<CallExecutor> makeExecutor(const std::string& process) const override { return std::make_unique<Executor>(process, ExecutorLimits {}); }
};

class WithCoordinator final : public PartsFactory {
public:
    std::unique_ptr<CallCoordinator> makeCoordinator(const std::string& process) const override { return std::make_unique<SaysNotRunWithoutTombstone>(process, CoordinatorLimits {}); }
};

} // namespace

TEST_GROUP(CallHistories) {};

TEST(CallHistories, EachCallRunsAtMostOnceAndEveryWordAboutItIsTrue)
{
    Tally tally;
    CHECK_PROPERTY_WITH((PropertyOptions { .seed = 20261202, .maxSuccess = 3000, .maxSize = 60 }), [&] {
        auto history = *histories();
        auto violation = play(history, nullptr, &tally);
        if (!violation.empty())
            RC_FAIL(violation);
    });
    UT_PRINT(StringFromFormat("told: %d answered, %d repeated, %d not_run, %d may_have_run", tally.answered, tally.repeated, tally.notRun, tally.mayHaveRun));
    CHECK_COMPARE(tally.answered, >, 500);
    CHECK_COMPARE(tally.repeated, >, 500);
    CHECK_COMPARE(tally.notRun, >, 100);
    CHECK_COMPARE(tally.mayHaveRun, >, 100);
}

TEST(CallHistories, AFaultThatRunsOnALostClaimIsFound)
{
    CHECK_FALSE(findViolation(WithExecutor<RunsOnALostClaim>()).empty());
}

TEST(CallHistories, AFaultThatRunsWhereTheClaimIsAbsentIsFound)
{
    CHECK_FALSE(findViolation(WithExecutor<RunsWhereTheClaimIsAbsent>()).empty());
}

TEST(CallHistories, AFaultThatRunsAnOpenClaimAgainIsFound)
{
    CHECK_FALSE(findViolation(WithExecutor<RunsAnOpenClaimAgain>()).empty());
}

TEST(CallHistories, AFaultThatIgnoresTombstonesIsFound)
{
    CHECK_FALSE(findViolation(WithExecutor<IgnoresTombstones>()).empty());
}

TEST(CallHistories, AFaultThatAnswersAnotherBodyIsFound)
{
    CHECK_FALSE(findViolation(WithExecutor<RepeatsWithAnyBody>()).empty());
}

TEST(CallHistories, AFaultThatSaysNotRunWithoutATombstoneIsFound)
{
    CHECK_FALSE(findViolation(WithCoordinator()).empty());
}
