#include "ServiceOptions.h"

#include "toucanstep/formats/EtcdStore.h"

#include <absl/strings/numbers.h>
#include <cmath>

namespace toucanstep::cli::internal {

namespace {

constexpr double mostSeconds = 86400;

} // namespace

void declareStore(Syntax& syntax)
{
    syntax.addOption("store", "URL of the key-value service, by IP number");
}

void declareTimeout(Syntax& syntax)
{
    syntax.addOption("timeout", "seconds after which a call of the service is given up", "10");
}

std::optional<int64_t> readNumber(std::string_view text)
{
    constexpr std::string_view digits = "0123456789";
    int64_t number = 0;
    if (text.empty() || text.find_first_not_of(digits) != std::string_view::npos || !absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &number))
        return std::nullopt;
    return number;
}

std::optional<base::Duration> readSeconds(const Arguments& arguments, const std::string& option, std::ostream& errors)
{
    double seconds = 0;
    if (absl::SimpleAtod(arguments.text(option), &seconds) && std::isfinite(seconds) && seconds > 0 && seconds <= mostSeconds)
        return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
    errors << "toucanstep: --" << option << " takes seconds above 0 and at most " << mostSeconds << ", not \"" << arguments.text(option) << "\"\n";
    return std::nullopt;
}

std::optional<std::string> readRequired(const Arguments& arguments, const std::string& option, std::ostream& errors)
{
    std::string value = arguments.text(option);
    if (!value.empty())
        return value;
    errors << "toucanstep: --" << option << " is missing\n";
    return std::nullopt;
}

std::unique_ptr<base::KeyValueStore> openStore(const std::string& url)
{
    return formats::makeEtcdStore(url, std::make_shared<formats::HttpClient>());
}

} // namespace toucanstep::cli::internal
