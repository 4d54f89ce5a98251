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

constexpr Millis kPollEvery = 500;

}  // namespace

FileWatcher::FileWatcher(boost::asio::io_context& io, std::string path, std::function<void()> changed)
    : path_(std::move(path)), changed_(std::move(changed)), events_(io), poll_(io), seen_(Look()) {
  const int descriptor = inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
  if (descriptor >= 0) {
    const std::size_t slash = path_.rfind('/');
    const std::string folder = slash == std::string::npos ? "." : slash == 0 ? "/" : path_.substr(0, slash);
    inotify_add_watch(descriptor, folder.c_str(), IN_CLOSE_WRITE | IN_MOVED_TO | IN_CREATE | IN_DELETE);
    events_.assign(descriptor);
    Wait();
  }
  Poll();
}

FileWatcher::~FileWatcher() = default;

FileWatcher::Mark FileWatcher::Look() const {
  struct stat status {};
  if (::stat(path_.c_str(), &status) != 0) return {};
  return {static_cast<long long>(status.st_dev), static_cast<long long>(status.st_ino), status.st_size,
          status.st_mtim.tv_sec, status.st_mtim.tv_nsec};
}

void FileWatcher::Check() {
  const Mark now = Look();
  if (now == seen_) return;
  seen_ = now;
  changed_();
}

void FileWatcher::Wait() {
  events_.async_read_some(boost::asio::buffer(buffer_),
                          [this, alive = std::weak_ptr(alive_)](error_code ec, std::size_t) {
                            if (ec || alive.expired()) return;
                            Check();
                            if (!alive.expired()) Wait();
                          });
}

void FileWatcher::Poll() {
  poll_.expires_after(ToDuration(kPollEvery));
  poll_.async_wait([this, alive = std::weak_ptr(alive_)](error_code ec) {
    if (ec || alive.expired()) return;
    Check();
    if (!alive.expired()) Poll();
  });
}

bool ReadFile(const std::string& path, std::size_t most, std::string& text) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) return false;
  text.assign(std::istreambuf_iterator<char>(stream), {});
  return !stream.bad() && text.size() <= most;
}

}  // namespace opalswitch::gateway
