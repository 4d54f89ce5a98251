#include "base/file_watcher.hpp"

#include <sys/inotify.h>
#include <sys/stat.h>

#include <boost/asio/buffer.hpp>
#include <fstream>
#include <utility>

#include "base/clock.hpp"

namespace opalswitch::gateway {
namespace {

using boost::system::error_code;

constexpr Millis kPollIntervalMs = 500;

}  // namespace

FileWatcher::FileWatcher(boost::asio::io_context& io, std::string path, std::function<void()> on_change)
    : path_(std::move(path)),
      on_change_(std::move(on_change)),
      inotify_events_(io),
      poll_timer_(io),
      last_status_(ReadStatus()) {
  const int descriptor = inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
  if (descriptor >= 0) {
    const std::size_t slash = path_.rfind('/');
    const std::string folder = slash == std::string::npos ? "." : slash == 0 ? "/" : path_.substr(0, slash);
    inotify_add_watch(descriptor, folder.c_str(), IN_CLOSE_WRITE | IN_MOVED_TO | IN_CREATE | IN_DELETE);
    inotify_events_.assign(descriptor);
    WaitForEvent();
  }
  SchedulePoll();
}

FileWatcher::~FileWatcher() = default;

FileWatcher::FileStatus FileWatcher::ReadStatus() const {
  struct stat status {};
  if (::stat(path_.c_str(), &status) != 0) return {};
  return {static_cast<long long>(status.st_dev), static_cast<long long>(status.st_ino), status.st_size,
          status.st_mtim.tv_sec, status.st_mtim.tv_nsec};
}

void FileWatcher::CheckForChange() {
  const FileStatus current = ReadStatus();
  if (current == last_status_) return;
  last_status_ = current;
  on_change_();
}

void FileWatcher::WaitForEvent() {
  inotify_events_.async_read_some(boost::asio::buffer(buffer_),
                                  [this, alive = std::weak_ptr(alive_)](error_code ec, std::size_t) {
                                    if (ec || alive.expired()) return;
                                    CheckForChange();
                                    if (!alive.expired()) WaitForEvent();
                                  });
}

void FileWatcher::SchedulePoll() {
  poll_timer_.expires_after(ToDuration(kPollIntervalMs));
  poll_timer_.async_wait([this, alive = std::weak_ptr(alive_)](error_code ec) {
    if (ec || alive.expired()) return;
    CheckForChange();
    if (!alive.expired()) SchedulePoll();
  });
}

bool ReadFile(const std::string& path, std::size_t max_bytes, std::string& text) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) return false;
  text.assign(std::istreambuf_iterator<char>(stream), {});
  return !stream.bad() && text.size() <= max_bytes;
}

}  // namespace opalswitch::gateway
