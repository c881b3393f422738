/** A completion request that passed validation. */
import {type AdmissionRequest} from '@mimosatack/admit-requests';
import {type CompletionRequest} from './completion_request.js';
import {type RequestOptions} from './request_options.js';

export interface CompletionJob {
  /** Identifies the request in this node's log. */
  requestId: string;
  path: string;
  request: CompletionRequest;
  options: RequestOptions;
  admission: AdmissionRequest;
  /** Whether a failed attempt may be retried although it may have run. */
  isRepeatable: boolean;
}
