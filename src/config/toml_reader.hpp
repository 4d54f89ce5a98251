// Reads the fields of TOML tables and collects all issues in them: unknown keys, wrong types, values out of
// range, values without a unit.
//
// Each table is read by a TableReader of its own. A field that is absent or wrong has no value, so the caller
// goes on with a default and one pass finds every issue in the file.
#ifndef OPALSWITCH_CONFIG_TOML_READER_HPP_
#define OPALSWITCH_CONFIG_TOML_READER_HPP_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// toml++ 3.3 asserts that a key starts with a key character before it checks that it does, and in a Release
// build assumes it: undefined behaviour, or an abort, on a malformed file. The checks behind the assertions
// are sufficient, so the assertions are turned off in all builds.
#define TOML_HEADER_ONLY 1
#define TOML_EXCEPTIONS 0
#define TOML_ASSERT(expr) static_cast<void>(0)
#pragma push_macro("NDEBUG")
#undef NDEBUG
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")

#include "config/services.hpp"

namespace opalswitch::config {

// The issues of one file.
struct Issues {
  std::string file;
  std::vector<Issue> list;

  void Add(const toml::source_region& at, std::string field, std::string text) {
    list.push_back({file, at.begin.line, at.begin.column, std::move(field), std::move(text)});
  }
};

// Reads one table. The table and the issues must outlive the reader.
class TableReader {
 public:
  // `path` names the table in issues, such as "pool.baskets"; empty for the root.
  TableReader(const toml::table& table, std::string path, Issues& issues);
  // Adds an issue for each key of the table that was never asked for.
  ~TableReader();
  TableReader(const TableReader&) = delete;
  TableReader& operator=(const TableReader&) = delete;

  bool Has(std::string_view key) const { return table_.contains(key); }

  // Each of these reads one field. An absent field gives no value and no issue; a field of a wrong type or
  // out of range gives no value and adds an issue.
  std::optional<std::string> String(std::string_view key);
  std::optional<std::string> Name(std::string_view key);  // 1 to 64 letters, digits, '.', '_' or '-'
  std::optional<double> Number(std::string_view key, double min, double max);
  std::optional<std::int64_t> Integer(std::string_view key, std::int64_t min, std::int64_t max);
  std::optional<bool> Flag(std::string_view key);
  // A duration with its unit, up to a day.
  std::optional<Millis> Duration(std::string_view key, bool allow_zero = false);
  // A size with its unit, in bytes, above 0.
  std::optional<std::uint64_t> Size(std::string_view key);
  // "IP:port"; an IPv6 address is in brackets.
  std::optional<boost::asio::ip::tcp::endpoint> Address(std::string_view key);
  // The index in `choices` of the string.
  std::optional<std::size_t> Choice(std::string_view key, const std::vector<std::string_view>& choices);
  // One string or a list of strings; empty if the field is absent or wrong.
  std::vector<std::string> Strings(std::string_view key);
  // A table, [key]; null if it is absent or wrong.
  const toml::table* Table(std::string_view key);
  // An array of tables, [[key]]; empty if it is absent or wrong.
  std::vector<const toml::table*> Tables(std::string_view key);

  // Makes a field required: adds an issue if it is absent. Gives the value read, or a default-constructed
  // one.
  template <typename T>
  T Required(std::string_view key, std::optional<T> value, const char* expected) {
    if (!value && !Has(key)) AddMissing(key, expected);
    return value.value_or(T{});
  }

  // Each adds an issue at the position of the field, or of the table if the field is absent.
  void AddInvalid(std::string_view key, const std::string& expected);  // "found VALUE, expected ..."
  void AddIssue(std::string_view key, const std::string& text);
  void AddMissing(std::string_view key, const std::string& expected);  // "missing, expected ..."

  // All keys of the table, for tables whose keys are names chosen by the operators. Marks them as known.
  std::vector<std::string> Keys();
  // The path of a field in issues, such as "pool.baskets.attempts".
  std::string PathOf(std::string_view key) const;
  const toml::source_region& at() const { return table_.source(); }

 private:
  // Looks up a key and marks it as known; null if it is absent.
  const toml::node* Find(std::string_view key);

  const toml::table& table_;
  const std::string path_;
  Issues& issues_;
  std::set<std::string, std::less<>> known_keys_;
};

// A value as it is written in the file, on one line and of at most 60 characters, for messages.
std::string FormatValue(const toml::node& node);

}  // namespace opalswitch::config

#endif  // OPALSWITCH_CONFIG_TOML_READER_HPP_
