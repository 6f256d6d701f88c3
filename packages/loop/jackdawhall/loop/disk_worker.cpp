#include <jackdawhall/loop/disk_worker.hpp>

namespace jackdawhall::loop
{

namespace
{

struct task_data
{
    journal::sync_job job_;
    sync_done done_;
    std::string error_;
};

void run_job(GTask* task, gpointer, gpointer data, GCancellable*)
{
    task_data& t = *static_cast<task_data*>(data);
    leaf::try_handle_all(
        [&]() -> leaf::result<void> { return journal::run(t.job_); },
        [&](internal_error const& e) { t.error_ = e.what_; },
        [&] { t.error_ = "unknown error"; });
    g_task_return_boolean(task, TRUE);
}

void finish_job(GObject*, GAsyncResult* result, gpointer)
{
    task_data& t = *static_cast<task_data*>(
        g_task_get_task_data(reinterpret_cast<GTask*>(result)));
    t.done_(t.error_);
}

} // namespace

void sync_in_worker(journal::sync_job job, sync_done done)
{
    GTask* task = g_task_new(nullptr, nullptr, finish_job, nullptr);
    g_task_set_task_data(
        task, new task_data{std::move(job), std::move(done), {}},
        [](gpointer data) { delete static_cast<task_data*>(data); });
    g_task_run_in_thread(task, run_job);
    g_object_unref(task);
}

} // namespace jackdawhall::loop
