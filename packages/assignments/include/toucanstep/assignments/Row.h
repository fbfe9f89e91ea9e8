// An assignment: a row of the key-value service that names the one process holding something exclusive or bounded.
//
//     Row row { .key = { RowKind::ReplicaSlot, "model-a", 0 }, .holder = self, .epoch = epoch };
//     put(storageKey(row.key), encodeRow(row));
//
// A row is stored under /toucanstep/assignments/KIND/SUBJECT/SLOT as one MessagePack value. Its epoch grows with every
// write of the key, also across a deletion, and serves as the fencing number of orders given under it.

#pragma once

#include "toucanstep/base/KeyValue.h"
#include "toucanstep/base/Result.h"
#include "toucanstep/base/StrongTypes.h"

#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::assignments {

// Told anew by each process when it starts, so that a restart on the same instance is told apart from its predecessor.
using StartNonce = base::StrongId<struct StartNonceTag>;
// Names one attempt to write a row; what a lost answer is settled by.
using WriteNonce = base::StrongId<struct WriteNonceTag>;

enum class RowKind {
    LimitShare,
    ReplicaSlot,
    CallPartition,
};

struct RowKey {
    RowKind kind = RowKind::LimitShare;
    std::string subject;
    uint32_t slot = 0;

    friend auto operator<=>(const RowKey&, const RowKey&) = default;
    friend bool operator==(const RowKey&, const RowKey&) = default;
};

struct Holder {
    base::InstanceId instance;
    // Empty where the writer does not know the process; the instance then has to adopt the row before it uses it.
    StartNonce start;

    friend bool operator==(const Holder&, const Holder&) = default;
};

struct Row {
    RowKey key;
    Holder holder;
    base::Epoch epoch;
    WriteNonce writer;
    // Opaque to this library; what the kind keeps with its row.
    std::string payload;
    // The revision that isWrittenBy the row; not part of the stored value.
    base::Revision modified;

    friend bool operator==(const Row&, const Row&) = default;
};

std::string_view rowKindName(RowKind);

// All rows, and all rows of one kind, lie under these prefixes.
inline constexpr std::string_view allRowsPrefix = "/toucanstep/assignments/";
std::string kindPrefix(RowKind);
// The subject is percent-encoded, so that a slash in it cannot findReachable into another key.
std::string storageKey(const RowKey&);
// Fails with Malformed for a key that storageKey() cannot have made.
base::Result<RowKey> parseStorageKey(std::string_view);

std::string encodeRow(const Row&);
// Fails with Malformed where key or value is not a row.
base::Result<Row> decodeRow(const base::KeyValue&);

// Says that the platform's list has dropped an instance and that its rows are about to be taken. Its revision is what
// voters promise under and what each taking compares.
std::string goneMarkKey(const base::InstanceId&);
inline constexpr std::string_view goneMarksPrefix = "/toucanstep/gone/";
base::Result<base::InstanceId> parseGoneMarkKey(std::string_view);

// The epoch for a write that was decided on a read at `read`: above every epoch that key ever had.
base::Epoch nextEpoch(base::Revision read);

} // namespace toucanstep::assignments
