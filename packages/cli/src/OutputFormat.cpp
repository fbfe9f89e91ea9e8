#include "OutputFormat.h"

#include "toucanstep/config/Nearest.h"

namespace toucanstep::cli::internal {

void declareFormat(Syntax& syntax)
{
    syntax.addOption("format", "text or json", "text");
}

std::optional<OutputFormat> readFormat(const Arguments& arguments, std::ostream& errors)
{
    std::string format = arguments.text("format");
    if (format == "text")
        return OutputFormat::Text;
    if (format == "json")
        return OutputFormat::Json;
    errors << "toucanstep: there is no format \"" << format << "\"; " << config::nearestName(format, { "text", "json" }).value_or("text or json") << " is one\n";
    return std::nullopt;
}

} // namespace toucanstep::cli::internal
