// Tells when a file may have changed: its folder is watched, so that a file which is replaced by renaming
// another over it (or whose symbolic link is turned) is followed like one that is written in place.
#ifndef OPALSWITCH_BASE_FILE_WATCHER_HPP_
#define OPALSWITCH_BASE_FILE_WATCHER_HPP_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace opalswitch::gateway {

class FileWatcher {
 public:
  // `changed` is called from the loop, never from the constructor. inotify tells at once; where it can't
  // (some network file systems, no more watches to be had), a look every half second does.
  FileWatcher(boost::asio::io_context& io, std::string path, std::function<void()> changed);
  ~FileWatcher();
  FileWatcher(const FileWatcher&) = delete;
  FileWatcher& operator=(const FileWatcher&) = delete;

 private:
  // What stat tells of the file: a changed one differs in some part.
  using Mark = std::array<long long, 5>;
  Mark Look() const;
  void Check();
  void Wait();
  void Poll();

  const std::string path_;
  const std::function<void()> changed_;
  boost::asio::posix::stream_descriptor events_;
  boost::asio::steady_timer poll_;
  Mark seen_;
  std::array<char, 4096> buffer_;
  const std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

// The whole of a file; false if it can't be read or is longer than `most` bytes.
bool ReadFile(const std::string& path, std::size_t most, std::string& text);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_BASE_FILE_WATCHER_HPP_
