// A lazy coroutine: it starts when it is awaited and resumes its awaiter when it finishes.
#pragma once

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace trailcourse::transport {

template <typename T = void>
class Task;

namespace detail {

struct PromiseBase {
  struct FinalAwaiter {
    bool await_ready() const noexcept { return false; }
    template <typename Promise>
    std::coroutine_handle<> await_suspend(std::coroutine_handle<Promise> finished) const noexcept {
      const std::coroutine_handle<> next = finished.promise().continuation;
      return next ? next : std::noop_coroutine();
    }
    void await_resume() const noexcept {}
  };

  std::suspend_always initial_suspend() const noexcept { return {}; }
  FinalAwaiter final_suspend() const noexcept { return {}; }
  void unhandled_exception() noexcept { error = std::current_exception(); }

  std::coroutine_handle<> continuation;
  std::exception_ptr error;
};

template <typename T>
struct Promise : PromiseBase {
  Task<T> get_return_object();
  void return_value(T result) { value = std::move(result); }
  T take_value() { return std::move(*value); }

  std::optional<T> value;
};

template <>
struct Promise<void> : PromiseBase {
  Task<void> get_return_object();
  void return_void() const noexcept {}
  void take_value() const noexcept {}
};

}  // namespace detail

// Owns a coroutine that returns a T. Awaiting it returns the value or rethrows the exception that left the
// coroutine. Each task is awaited at most once.
template <typename T>
class [[nodiscard]] Task {
 public:
  using promise_type = detail::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  explicit Task(Handle handle) : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, nullptr)) {}
  Task& operator=(Task&& other) noexcept {
    std::swap(handle_, other.handle_);
    return *this;
  }
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;
  ~Task() {
    if (handle_) {
      handle_.destroy();
    }
  }

  bool await_ready() const noexcept { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> awaiter) noexcept {
    handle_.promise().continuation = awaiter;
    return handle_;
  }
  T await_resume() {
    if (handle_.promise().error) {
      std::rethrow_exception(handle_.promise().error);
    }
    return handle_.promise().take_value();
  }

 private:
  Handle handle_;
};

namespace detail {

template <typename T>
Task<T> Promise<T>::get_return_object() {
  return Task<T>(std::coroutine_handle<Promise<T>>::from_promise(*this));
}
inline Task<void> Promise<void>::get_return_object() {
  return Task<void>(std::coroutine_handle<Promise<void>>::from_promise(*this));
}

}  // namespace detail
}  // namespace trailcourse::transport
