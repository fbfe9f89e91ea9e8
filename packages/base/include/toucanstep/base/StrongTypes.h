// Strong types for identifiers and units.
//
// Two ids of different kinds never compare or assign to one another, and neither do tokens and bytes. A strong type is
// built explicitly from its representation and gives it back with value().

#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <utility>

namespace toucanstep::base {

// An identifier kept as text. Tag only tells kinds of identifiers apart.
template <typename Tag>
class StrongId {
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend auto operator<=>(const StrongId&, const StrongId&) = default;
    friend bool operator==(const StrongId&, const StrongId&) = default;
    friend std::ostream& operator<<(std::ostream& stream, const StrongId& id) { return stream << id.m_value; }

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const StrongId& id)
    {
        return Hash::combine(std::move(state), id.m_value);
    }

private:
    std::string m_value;
};

// A whole number with a unit. Sums and differences stay in the unit.
template <typename Tag>
class StrongNumber {
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(int64_t value)
        : m_value(value)
    {
    }

    constexpr int64_t value() const { return m_value; }

    constexpr StrongNumber& operator+=(StrongNumber other)
    {
        m_value += other.m_value;
        return *this;
    }
    constexpr StrongNumber& operator-=(StrongNumber other)
    {
        m_value -= other.m_value;
        return *this;
    }
    friend constexpr StrongNumber operator+(StrongNumber left, StrongNumber right) { return left += right; }
    friend constexpr StrongNumber operator-(StrongNumber left, StrongNumber right) { return left -= right; }
    friend constexpr auto operator<=>(const StrongNumber&, const StrongNumber&) = default;
    friend constexpr bool operator==(const StrongNumber&, const StrongNumber&) = default;
    friend std::ostream& operator<<(std::ostream& stream, StrongNumber number) { return stream << number.m_value; }

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const StrongNumber& number)
    {
        return Hash::combine(std::move(state), number.m_value);
    }

private:
    int64_t m_value = 0;
};

// A process' place on the platform: one address, one failure domain. Replacing the instance gives a new id.
using InstanceId = StrongId<struct InstanceIdTag>;
using FailureDomain = StrongId<struct FailureDomainTag>;
using RegionId = StrongId<struct RegionIdTag>;
using ClientAccountId = StrongId<struct ClientAccountIdTag>;
using UpstreamId = StrongId<struct UpstreamIdTag>;
using PoolId = StrongId<struct PoolIdTag>;
using ModelId = StrongId<struct ModelIdTag>;
using ServiceId = StrongId<struct ServiceIdTag>;
using RequestId = StrongId<struct RequestIdTag>;
// The SHA-256 of a caller's key in lower-case hexadecimal; the key itself never leaves the gateway.
using KeyFingerprint = StrongId<struct KeyFingerprintTag>;

using Tokens = StrongNumber<struct TokensTag>;
using Bytes = StrongNumber<struct BytesTag>;
// Fencing number of an assignment: grows each time the assignment changes hands.
using Epoch = StrongNumber<struct EpochTag>;
// The key-value service's revision; the configuration's version is the revision that wrote it.
using Revision = StrongNumber<struct RevisionTag>;

} // namespace toucanstep::base
