/** Builds the admission request for a caller's request. */
import {randomUUID} from 'node:crypto';
import {
  type AdmissionRequest,
  type WorkClass,
} from '@mimosatack/admit-requests';
import {type Caller} from '@mimosatack/authenticate';
import {type CallerContext} from './caller_context.js';
import {type RequestOptions} from './request_options.js';

export function makeAdmissionRequest(
  caller: Caller,
  options: RequestOptions,
  work: {workClass: WorkClass; sizeBytes: number; arrivedAtMs: number},
  context: CallerContext,
): AdmissionRequest {
  const {limits} = context.state().configuration.find('team', caller.team)
    ?.content ?? {
    limits: {maxConcurrentRequests: 1, requestsPerSecond: 1},
  };
  return {
    ...work,
    requestId: randomUUID(),
    team: caller.team,
    teamLimits: limits,
    priority: options.priority,
    deadlineAtMs: work.arrivedAtMs + options.deadlineMs,
  };
}
