// Embeds the assignments library alone: one process claims a row, and uses it as long as the list or the voters say that
// it is in. No network and no clock is needed; the program plays the key-value service and the list by hand.

#include "toucanstep/assignments/HolderState.h"
#include "toucanstep/assignments/Mover.h"

#include <cstdlib>
#include <iostream>

using namespace toucanstep::assignments;
using namespace toucanstep::base;
using std::chrono::seconds;

namespace {

Instant at(int second)
{
    return Instant(seconds(second));
}

RequestWindow sentAt(int second)
{
    return { at(second), at(second + 1) };
}

} // namespace

int main()
{
    Holder self { InstanceId("gateway-1"), StartNonce("start-1") };
    HolderState holder(self, Timing {});
    Mover mover(self);

    // The first read shows no row; claim it. The answer is lost, so the row is read back.
    holder.onServiceRead(sentAt(100), at(100), Revision(7), false, std::nullopt);
    Move claim = mover.claim({ RowKind::LimitShare, "farm", 0 }, "payload", Revision(7));
    mover.onOutcome(claim.id, Error { ErrorKind::Timeout, "no answer" });
    const auto& put = std::get<PutOperation>(claim.transaction.operations.front());
    RangeReply read { { { put.key, put.value, Revision(8), Revision(8) } }, Revision(8) };
    if (mover.onRead(claim.id, read) != MoveState::Committed)
        return EXIT_FAILURE;
    Row row = *mover.writtenRow(claim.id);
    std::cout << "holds " << put.key << " with epoch " << row.epoch << "\n";

    // The list shows this instance, so the row is usable, and goes on to be while answers keep coming.
    holder.onListAnswer(sentAt(100), at(100), 1, true);
    bool whileListed = holder.mayUse(row, at(103));
    bool afterSilence = holder.mayUse(row, at(120));
    std::cout << "usable while listed: " << whileListed << ", after 20 s without a word: " << afterSilence << "\n";

    // Given up for good before the release is sent, whatever becomes of the release.
    Move release = mover.release(row, holder);
    bool afterRelease = holder.mayUse(row, at(103));
    std::cout << "usable once released: " << afterRelease << "\n";
    mover.onOutcome(release.id, TransactionReply { true, Revision(9) });
    return whileListed && !afterSilence && !afterRelease ? EXIT_SUCCESS : EXIT_FAILURE;
}
