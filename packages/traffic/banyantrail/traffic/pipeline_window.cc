#include "banyantrail/traffic/pipeline_window.h"

#include <algorithm>

namespace banyantrail {

bool PipelineWindow::MayStart(const PipelinedRequest& request) const {
  if (m_requests.empty()) {
    return true;
  }
  // A request that holds back those behind it is always the last of the window.
  return request.may_run_beside && !m_requests.back().holds_back &&
         m_requests.size() < m_limits.max_requests &&
         m_bytes + request.head_bytes <= m_limits.max_bytes;
}

PipelineWindow::Ticket PipelineWindow::Start(const PipelinedRequest& request) {
  m_requests.push_back(
      {.ticket = m_next_ticket,
       .bytes = request.head_bytes,
       .holds_back = request.is_last || !request.may_run_beside});
  m_bytes += request.head_bytes;
  return m_next_ticket++;
}

bool PipelineWindow::MayReadOn() const {
  return MayStart({.may_run_beside = true});
}

bool PipelineWindow::MayWrite(Ticket ticket) const {
  return !m_requests.empty() && m_requests.front().ticket == ticket;
}

bool PipelineWindow::IsLast(Ticket ticket) const {
  return !m_requests.empty() && m_requests.back().ticket == ticket;
}

bool PipelineWindow::ReserveResponse(Ticket ticket, std::uint64_t bytes) {
  const auto request = Find(ticket);
  const std::uint64_t free_bytes =
      m_limits.max_bytes - std::min(m_bytes, m_limits.max_bytes);
  if (request == m_requests.end() || bytes > free_bytes) {
    return false;
  }
  request->bytes += bytes;
  m_bytes += bytes;
  return true;
}

void PipelineWindow::Finish(Ticket ticket) {
  const auto request = Find(ticket);
  if (request != m_requests.end()) {
    m_bytes -= request->bytes;
    m_requests.erase(request);
  }
}

std::vector<PipelineWindow::Request>::iterator PipelineWindow::Find(
    Ticket ticket) {
  return std::ranges::find(m_requests, ticket, &Request::ticket);
}

}  // namespace banyantrail
