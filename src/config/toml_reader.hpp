// Reads the fields of TOML tables, and notes all that is wrong with them: unknown keys, wrong types, values
// without their unit. One TableReader a table; whoever reads on gets defaults, so that one run finds every
// fault.
#ifndef OPALSWITCH_CONFIG_TOML_READER_HPP_
#define OPALSWITCH_CONFIG_TOML_READER_HPP_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// toml++ 3.3 asserts, and in Release assumes, that a key begins with a key's character before it checks that
// it does: a broken file would end the process, or worse. Its checks behind the assertions are enough.
#define TOML_HEADER_ONLY 1
#define TOML_EXCEPTIONS 0
#define TOML_ASSERT(expr) static_cast<void>(0)
#pragma push_macro("NDEBUG")
#undef NDEBUG
#include <toml++/toml.h>
#pragma pop_macro("NDEBUG")

#include "config/services.hpp"

namespace opalswitch::config {

// Where all issues of one file go.
struct Issues {
  std::string file;
  std::vector<Issue> list;

  void Add(const toml::source_region& at, std::string field, std::string text) {
    list.push_back({file, at.begin.line, at.begin.column, std::move(field), std::move(text)});
  }
};

class TableReader {
 public:
  // `path` names the table in issues. Unknown keys are told when the TableReader ends.
  TableReader(const toml::table& table, std::string path, Issues& issues);
  ~TableReader();
  TableReader(const TableReader&) = delete;
  TableReader& operator=(const TableReader&) = delete;

  bool Has(std::string_view key) const { return table_.contains(key); }

  // Each reads one field. Absent: nothing, without an issue. Wrong: nothing, with one.
  std::optional<std::string> String(std::string_view key);
  std::optional<std::string> Name(std::string_view key);  // letters, digits, '.', '_', '-'; 64 at most
  std::optional<double> Number(std::string_view key, double min, double max);
  std::optional<std::int64_t> Integer(std::string_view key, std::int64_t min, std::int64_t max);
  std::optional<bool> Flag(std::string_view key);
  std::optional<Millis> Duration(std::string_view key, bool allow_zero = false);
  std::optional<std::uint64_t> Size(std::string_view key);
  std::optional<boost::asio::ip::tcp::endpoint> Address(std::string_view key);
  // The place of the text in `choices`.
  std::optional<std::size_t> Choice(std::string_view key, const std::vector<std::string_view>& choices);
  // One text or a list of them.
  std::vector<std::string> Strings(std::string_view key);
  const toml::table* Table(std::string_view key);
  std::vector<const toml::table*> Tables(std::string_view key);  // [[key]]

  // The same, but absent is an issue.
  template <typename T>
  T Required(std::string_view key, std::optional<T> value, const char* expected) {
    if (!value && !Has(key)) AddMissing(key, expected);
    return value.value_or(T{});
  }

  // An issue at a field, or at the table if the field is not there.
  void AddInvalid(std::string_view key, const std::string& expected);
  void AddIssue(std::string_view key, const std::string& text);
  void AddMissing(std::string_view key, const std::string& expected);

  // All keys of the table, for tables whose keys are names.
  std::vector<std::string> Keys();
  std::string PathOf(std::string_view key) const;
  const toml::source_region& at() const { return table_.source(); }

 private:
  const toml::node* Find(std::string_view key);

  const toml::table& table_;
  const std::string path_;
  Issues& issues_;
  std::set<std::string, std::less<>> known_keys_;
};

// The text of a value as the file has it, shortened, for messages.
std::string FormatValue(const toml::node& node);

}  // namespace opalswitch::config

#endif  // OPALSWITCH_CONFIG_TOML_READER_HPP_
