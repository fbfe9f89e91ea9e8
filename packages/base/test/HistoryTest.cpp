#include "toucanstep/base/History.h"
#include "toucanstep/testing/Property.h"

using namespace toucanstep::base;

TEST_GROUP(HistoryEvent) {};

TEST(HistoryEvent, ReadsBackAsItWasWritten)
{
    HistoryEvent event { .kind = HistoryKind::Refused, .at = Instant(Duration(123)), .recorder = InstanceId("g"), .request = RequestId("r \"1\"\n"), .tokens = Tokens(-5), .weight = 4, .deadline = Instant(Duration(456)), .code = RefusalCode::Overloaded, .ran = RanState::NotRun, .complete = true };
    std::string line = encodeHistoryEvent(event);
    CHECK_TRUE(line.find('\n') == std::string::npos);
    Error error;
    auto read = valueOr(error, [&] { return decodeHistoryEvent(line); });
    CHECK_TRUE(read.has_value());
    STRCMP_EQUAL(line.c_str(), encodeHistoryEvent(*read).c_str());
    CHECK_TRUE(read->request == event.request && read->code == event.code && read->ran == event.ran && read->weight == 4);
}

TEST(HistoryEvent, EveryKindHasItsOwnName)
{
    for (int index = 0; index < historyKindCount; ++index) {
        Error error;
        HistoryEvent event { .kind = static_cast<HistoryKind>(index) };
        auto read = valueOr(error, [&] { return decodeHistoryEvent(encodeHistoryEvent(event)); });
        CHECK_TRUE(read && read->kind == event.kind);
    }
}

TEST(HistoryEvent, RecordsBytesThatAreNotText)
{
    HistoryEvent event { .kind = HistoryKind::Offered, .request = RequestId("\xff\xfe") };
    CHECK_FALSE(encodeHistoryEvent(event).empty());
}
