#include "toucanstep/config/Units.h"

#include "toucanstep/base/Text.h"

#include <array>
#include <charconv>
#include <span>

namespace toucanstep::config {

namespace {

struct Unit {
    std::string_view name;
    int64_t factor;
};

constexpr int64_t nanosecondsInMillisecond = 1'000'000;
constexpr int64_t nanosecondsInSecond = 1000 * nanosecondsInMillisecond;

constexpr std::array<Unit, 5> durationTable { {
    { "ms", nanosecondsInMillisecond },
    { "s", nanosecondsInSecond },
    { "m", 60 * nanosecondsInSecond },
    { "h", 3600 * nanosecondsInSecond },
    { "d", 24 * 3600 * nanosecondsInSecond },
} };

constexpr std::array<Unit, 5> sizeTable { {
    { "B", 1 },
    { "KiB", int64_t { 1 } << 10 },
    { "MiB", int64_t { 1 } << 20 },
    { "GiB", int64_t { 1 } << 30 },
    { "TiB", int64_t { 1 } << 40 },
} };

std::optional<int64_t> parseAmount(std::string_view text, std::span<const Unit> units)
{
    int64_t number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc {})
        return std::nullopt;
    std::string_view name = text.substr(static_cast<size_t>(end - text.data()));
    for (const Unit& unit : units) {
        int64_t amount = 0;
        if (unit.name == name && !__builtin_mul_overflow(number, unit.factor, &amount))
            return amount;
    }
    return std::nullopt;
}

std::string formatAmount(int64_t amount, std::span<const Unit> units)
{
    const Unit* best = units.data();
    for (const Unit& unit : units) {
        if (amount != 0 && amount % unit.factor == 0)
            best = &unit;
    }
    return base::concat(amount / best->factor, best->name);
}

} // namespace

std::optional<base::Duration> parseDuration(std::string_view text)
{
    auto amount = parseAmount(text, durationTable);
    return amount ? std::optional(base::Duration(*amount)) : std::nullopt;
}

std::optional<base::Bytes> parseSize(std::string_view text)
{
    auto amount = parseAmount(text, sizeTable);
    return amount ? std::optional(base::Bytes(*amount)) : std::nullopt;
}

std::string formatDuration(base::Duration duration)
{
    return formatAmount(duration.count() - duration.count() % nanosecondsInMillisecond, durationTable);
}

std::string formatSize(base::Bytes size)
{
    return formatAmount(size.value(), sizeTable);
}

} // namespace toucanstep::config
