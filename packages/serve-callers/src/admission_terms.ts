/** What admission is told of a caller's request. */
import {randomUUID} from 'node:crypto';
import {
  type AdmissionRequest,
  type WorkClass,
} from '@mimosatack/admit-requests';
import {type Caller} from '@mimosatack/authenticate';
import {type CallerContext} from './caller_context.js';
import {type RequestTerms} from './request_terms.js';

/** Puts a request into the form that the admission gate takes. */
export function makeAdmissionRequest(
  caller: Caller,
  terms: RequestTerms,
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
    priority: terms.priority,
    deadlineAtMs: work.arrivedAtMs + terms.deadlineMs,
  };
}
