#include "RunResult.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace toucanstep::bench {

namespace {

using nlohmann::json;

template <typename Value>
json orNull(const std::optional<Value>& value)
{
    return value ? json(*value) : json();
}

template <typename Value>
std::optional<Value> valueOf(const json& object, const char* name)
{
    if (!object.contains(name) || !object[name].is_number())
        return std::nullopt;
    return object[name].get<Value>();
}

struct Measure {
    std::string name;
    std::vector<std::optional<double>> values;

    bool empty() const
    {
        return std::none_of(values.begin(), values.end(), [](const auto& value) { return value.has_value(); });
    }
};

template <typename Value>
std::optional<double> asDouble(const std::optional<Value>& value)
{
    return value ? std::optional<double>(static_cast<double>(*value)) : std::nullopt;
}

std::vector<Measure> measuresOf(const std::vector<RunResult>& results)
{
    std::vector<Measure> measures;
    auto add = [&](const std::string& name, auto member) {
        Measure measure { name, {} };
        for (const RunResult& result : results)
            measure.values.push_back(asDouble(result.*member));
        measures.push_back(std::move(measure));
    };
    add("cold_start_p50_ms", &RunResult::coldStartP50Milliseconds);
    add("cold_start_p95_ms", &RunResult::coldStartP95Milliseconds);
    add("cold_start_p99_ms", &RunResult::coldStartP99Milliseconds);
    add("cold_start_p99_ratio", &RunResult::coldStartP99Ratio);
    add("idle_accelerator_ratio", &RunResult::idleAcceleratorRatio);
    add("worst_account", &RunResult::worstAccount);
    add("wrongful_refusals", &RunResult::wrongfulRefusals);
    add("bound_breaks", &RunResult::boundBreaks);
    add("requests", &RunResult::requests);
    add("answered", &RunResult::answered);
    add("refused", &RunResult::refused);
    add("cut", &RunResult::cut);
    Measure duration { "duration_s", {} };
    for (const RunResult& result : results)
        duration.values.emplace_back(result.durationSeconds);
    measures.push_back(std::move(duration));
    std::map<std::string, Measure> extras;
    for (const RunResult& result : results) {
        for (const auto& [name, value] : result.extra)
            extras.try_emplace(name, Measure { name, {} });
    }
    for (auto& [name, measure] : extras) {
        for (const RunResult& result : results) {
            auto found = result.extra.find(name);
            measure.values.push_back(found == result.extra.end() ? std::nullopt : std::optional<double>(found->second));
        }
        measures.push_back(std::move(measure));
    }
    return measures;
}

std::string number(const std::optional<double>& value)
{
    constexpr int digits = 6;
    if (!value)
        return "-";
    std::ostringstream text;
    text << std::setprecision(digits) << *value;
    return text.str();
}

std::string escaped(std::string_view text)
{
    std::string result;
    for (char character : text) {
        if (character == '<')
            result += "&lt;";
        else if (character == '>')
            result += "&gt;";
        else if (character == '&')
            result += "&amp;";
        else
            result += character;
    }
    return result;
}

std::string labelOf(const RunResult& result)
{
    return result.scenario + " " + result.variant + " seed " + std::to_string(result.seed);
}

constexpr int barHeight = 22;
constexpr int labelWidth = 260;
constexpr int plotWidth = 480;
constexpr int valueWidth = 120;

// One bar for each run that gives the measure; a run that does not give it says so in place of its bar.
void plot(std::ostream& page, const Measure& measure, const std::vector<RunResult>& results)
{
    double highest = 0;
    for (const auto& value : measure.values)
        highest = std::max(highest, value.value_or(0));
    page << "<h2>" << escaped(measure.name) << "</h2>\n<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << labelWidth + plotWidth + valueWidth
         << "\" height=\"" << barHeight * static_cast<int>(results.size()) << "\" font-family=\"sans-serif\" font-size=\"13\">\n";
    for (size_t index = 0; index < results.size(); ++index) {
        const auto& value = measure.values[index];
        int top = barHeight * static_cast<int>(index);
        int textLine = top + barHeight - 7;
        double width = highest > 0 ? value.value_or(0) / highest * plotWidth : 0;
        page << "<text x=\"0\" y=\"" << textLine << "\">" << escaped(labelOf(results[index])) << "</text>"
             << "<rect x=\"" << labelWidth << "\" y=\"" << top + 3 << "\" width=\"" << width << "\" height=\"" << barHeight - 6 << "\" fill=\""
             << (results[index].variant == "product" ? "#2b6cb0" : "#a0aec0") << "\"/>"
             << "<text x=\"" << labelWidth + width + 6 << "\" y=\"" << textLine << "\">" << (value ? number(value) : "not given") << "</text>\n";
    }
    page << "</svg>\n";
}

void tableOf(std::ostream& page, const std::vector<Measure>& measures, const std::vector<RunResult>& results)
{
    page << "<table border=\"1\" cellspacing=\"0\" cellpadding=\"4\">\n<tr><th>measure</th>";
    for (const RunResult& result : results)
        page << "<th>" << escaped(labelOf(result)) << "</th>";
    page << "</tr>\n";
    for (const Measure& measure : measures) {
        page << "<tr><td>" << escaped(measure.name) << "</td>";
        for (const auto& value : measure.values)
            page << "<td>" << number(value) << "</td>";
        page << "</tr>\n";
    }
    page << "</table>\n";
}

} // namespace

std::string toJson(const RunResult& result)
{
    json object = {
        { "scenario", result.scenario },
        { "seed", result.seed },
        { "variant", result.variant },
        { "version", result.version },
        { "cold_start_p50_ms", orNull(result.coldStartP50Milliseconds) },
        { "cold_start_p95_ms", orNull(result.coldStartP95Milliseconds) },
        { "cold_start_p99_ms", orNull(result.coldStartP99Milliseconds) },
        { "cold_start_p99_ratio", orNull(result.coldStartP99Ratio) },
        { "idle_accelerator_ratio", orNull(result.idleAcceleratorRatio) },
        { "worst_account", orNull(result.worstAccount) },
        { "wrongful_refusals", orNull(result.wrongfulRefusals) },
        { "bound_breaks", orNull(result.boundBreaks) },
        { "requests", orNull(result.requests) },
        { "answered", orNull(result.answered) },
        { "refused", orNull(result.refused) },
        { "cut", orNull(result.cut) },
        { "duration_s", result.durationSeconds },
    };
    if (!result.extra.empty())
        object["extra"] = result.extra;
    return object.dump();
}

std::optional<RunResult> resultFromJson(std::string_view line)
{
    constexpr bool throwing = false;
    json object = json::parse(line, nullptr, throwing);
    if (!object.is_object() || !object.contains("scenario") || !object["scenario"].is_string() || !object.contains("variant") || !object["variant"].is_string())
        return std::nullopt;
    RunResult result;
    result.scenario = object["scenario"].get<std::string>();
    result.variant = object["variant"].get<std::string>();
    result.version = object.contains("version") && object["version"].is_string() ? object["version"].get<std::string>() : "";
    result.seed = valueOf<uint64_t>(object, "seed").value_or(0);
    result.coldStartP50Milliseconds = valueOf<double>(object, "cold_start_p50_ms");
    result.coldStartP95Milliseconds = valueOf<double>(object, "cold_start_p95_ms");
    result.coldStartP99Milliseconds = valueOf<double>(object, "cold_start_p99_ms");
    result.coldStartP99Ratio = valueOf<double>(object, "cold_start_p99_ratio");
    result.idleAcceleratorRatio = valueOf<double>(object, "idle_accelerator_ratio");
    result.worstAccount = valueOf<double>(object, "worst_account");
    result.wrongfulRefusals = valueOf<double>(object, "wrongful_refusals");
    result.boundBreaks = valueOf<int64_t>(object, "bound_breaks");
    result.requests = valueOf<int64_t>(object, "requests");
    result.answered = valueOf<int64_t>(object, "answered");
    result.refused = valueOf<int64_t>(object, "refused");
    result.cut = valueOf<int64_t>(object, "cut");
    result.durationSeconds = valueOf<double>(object, "duration_s").value_or(0);
    if (object.contains("extra") && object["extra"].is_object()) {
        for (const auto& [name, value] : object["extra"].items()) {
            if (value.is_number())
                result.extra[name] = value.get<double>();
        }
    }
    return result;
}

std::string renderTable(const std::vector<RunResult>& results)
{
    constexpr int nameWidth = 34;
    constexpr int columnWidth = 16;
    std::ostringstream table;
    table << std::left << std::setw(nameWidth) << "measure" << std::right;
    for (const RunResult& result : results)
        table << std::setw(columnWidth) << result.variant;
    table << "\n";
    for (const Measure& measure : measuresOf(results)) {
        table << std::left << std::setw(nameWidth) << measure.name << std::right;
        for (const auto& value : measure.values)
            table << std::setw(columnWidth) << number(value);
        table << "\n";
    }
    return table.str();
}

std::string renderReport(const std::vector<RunResult>& results)
{
    std::ostringstream page;
    page << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>toucanstep: measurements</title></head><body>\n"
         << "<h1>toucanstep: measurements</h1>\n";
    std::vector<Measure> measures = measuresOf(results);
    tableOf(page, measures, results);
    for (const Measure& measure : measures) {
        if (!measure.empty())
            plot(page, measure, results);
    }
    page << "</body></html>\n";
    return page.str();
}

} // namespace toucanstep::bench
