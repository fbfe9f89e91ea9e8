// The published text and its history in the key-value service, as operators read and replace them.
//
// A publication is one transaction: it replaces the text if its version is still the expected one, and writes the entry of
// the history under the version that it replaces. A version is replaced once only, so no two publications share an entry,
// and the entry's nonce tells afterwards whether a transaction whose answer was lost took effect.

#pragma once

#include "toucanstep/base/KeyValue.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace toucanstep::cli::internal {

// How many versions the history keeps.
inline constexpr size_t keptVersions = 20;

struct PublishedVersion {
    base::Revision version;
    std::string text;
};

struct HistoryEntry {
    base::Revision version;
    // The version that it replaced; 0 for none.
    base::Revision replaced;
    std::string who;
    // UTC, for example `2026-05-04T10:20:30Z`.
    std::string when;
    // SHA-256 of the text.
    std::string digest;
    // Absent where text and entry together are more than one transaction may hold.
    std::optional<std::string> text;
    std::string nonce;
};

struct Publication {
    std::string text;
    std::string who;
    std::string when;
    // 0 where no text may have been published yet.
    base::Revision expected;
    std::string nonce;
};

struct Published {
    base::Revision version;
    bool historyHasText = true;
};
// Another version is there, and this publication never takes effect.
struct LostRace {
    PublishedVersion winner;
};
// The answer was lost and the expected version still stands: the transaction may yet take effect.
struct OutcomeUnknown {
    std::string reason;
};
// Nothing was published.
struct NotPublished {
    std::string reason;
};
using PublicationOutcome = std::variant<Published, LostRace, OutcomeUnknown, NotPublished>;

class ConfigurationArchive {
public:
    // Each call of the service is given up after `timeout`.
    ConfigurationArchive(base::KeyValueStore&, base::Duration timeout);

    // Version 0 and an empty text where none was published.
    base::Outcome<PublishedVersion> current();
    // The kept versions, oldest first. Entries that this program cannot read are left out.
    base::Outcome<std::vector<HistoryEntry>> history();
    PublicationOutcome publish(const Publication&);

private:
    base::Instant deadline() const;
    PublicationOutcome settle(const Publication&, bool historyHasText, const std::string& reason);
    PublicationOutcome readBack(const Publication&, bool historyHasText, const std::string& reason);

    base::KeyValueStore& m_store;
    base::Duration m_timeout;
};

} // namespace toucanstep::cli::internal
