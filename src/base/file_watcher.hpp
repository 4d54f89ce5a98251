// Detects changes of a file. The file's folder is watched, so that replacing the file by renaming another
// over it, or changing the target of its symbolic link, is detected as well as writing to it in place.
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
  // `on_change` is called on `io`'s thread, never from the constructor, and may destroy this object. Changes
  // are detected at once by inotify. Where that is not available (some network file systems, or no inotify
  // watches left), the file's status is polled every 500 ms.
  FileWatcher(boost::asio::io_context& io, std::string path, std::function<void()> on_change);
  ~FileWatcher();
  FileWatcher(const FileWatcher&) = delete;
  FileWatcher& operator=(const FileWatcher&) = delete;

 private:
  // Device, inode, size and modification time (s, ns) from stat(); all 0 if stat() fails.
  using FileStatus = std::array<long long, 5>;
  FileStatus ReadStatus() const;
  void CheckForChange();
  void WaitForEvent();
  void SchedulePoll();

  const std::string path_;
  const std::function<void()> on_change_;
  boost::asio::posix::stream_descriptor inotify_events_;
  boost::asio::steady_timer poll_timer_;
  FileStatus last_status_;
  std::array<char, 4096> buffer_;
  // Expires with this object: pending handlers hold weak pointers to it.
  const std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

// Reads a whole file into `text`. Returns false if it cannot be read or is longer than `max_bytes`.
bool ReadFile(const std::string& path, std::size_t max_bytes, std::string& text);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_BASE_FILE_WATCHER_HPP_
