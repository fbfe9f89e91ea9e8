#include "toucanstep/peers/Codec.h"

#include <utility>

namespace toucanstep::peers {

FieldWriter& FieldWriter::add(const std::string& text)
{
    m_fields.push_back(text);
    return *this;
}

FieldWriter& FieldWriter::add(int64_t number)
{
    m_fields.push_back(number);
    return *this;
}

FieldWriter& FieldWriter::addFlag(bool flag)
{
    m_fields.push_back(flag);
    return *this;
}

FieldWriter& FieldWriter::addDuration(base::Duration duration)
{
    return add(static_cast<int64_t>(duration.count()));
}

FieldWriter& FieldWriter::addBytes(std::string_view bytes)
{
    m_fields.push_back(nlohmann::json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end())));
    return *this;
}

std::string FieldWriter::finish() const
{
    std::string bytes;
    nlohmann::json::to_msgpack(m_fields, bytes);
    return bytes;
}

// Collects the fields of one flat array. Everything else is refused at once: a deeply nested message would otherwise
// exhaust the parser's stack.
class FieldReader::Collector final : public nlohmann::json_sax<nlohmann::json> {
public:
    explicit Collector(std::vector<Field>& fields)
        : m_fields(fields)
    {
    }

    bool null() override { return false; }
    bool boolean(bool value) override { return addField(value); }
    bool number_integer(number_integer_t value) override { return addField(static_cast<int64_t>(value)); }
    bool number_unsigned(number_unsigned_t value) override { return value <= INT64_MAX && addField(static_cast<int64_t>(value)); }
    bool number_float(number_float_t, const string_t&) override { return false; }
    bool string(string_t& value) override { return addField(std::move(value)); }
    bool binary(binary_t& value) override { return addField(Bytes { std::string(value.begin(), value.end()) }); }
    bool start_object(size_t) override { return false; }
    bool key(string_t&) override { return false; }
    bool end_object() override { return false; }
    bool start_array(size_t) override { return !std::exchange(m_insideArray, true); }
    bool end_array() override { return true; }
    bool parse_error(size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

private:
    bool addField(Field field)
    {
        m_fields.push_back(std::move(field));
        return m_insideArray;
    }

    std::vector<Field>& m_fields;
    bool m_insideArray = false;
};

FieldReader::FieldReader(std::string_view bytes)
{
    Collector collector(m_fields);
    m_failed = !nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &collector, nlohmann::json::input_format_t::msgpack);
}

template <typename T>
T FieldReader::take()
{
    if (m_failed || m_next >= m_fields.size() || !std::holds_alternative<T>(m_fields[m_next])) {
        m_failed = true;
        return {};
    }
    return std::move(std::get<T>(m_fields[m_next++]));
}

std::string FieldReader::text()
{
    return take<std::string>();
}

int64_t FieldReader::number()
{
    return take<int64_t>();
}

bool FieldReader::flag()
{
    return take<bool>();
}

base::Duration FieldReader::duration()
{
    return base::Duration(number());
}

std::string FieldReader::bytes()
{
    return take<Bytes>().value;
}

} // namespace toucanstep::peers
