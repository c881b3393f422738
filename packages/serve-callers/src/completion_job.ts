/** A caller's completion request with all that is known of it. */
import {type AdmissionRequest} from '@mimosatack/admit-requests';
import {type CompletionRequest} from './completion_request.js';
import {type RequestTerms} from './request_terms.js';

/** A completion request on its way through the pipeline. */
export interface CompletionJob {
  /** The id that the caller sees. */
  requestId: string;
  path: string;
  request: CompletionRequest;
  terms: RequestTerms;
  admission: AdmissionRequest;
  /** Whether a failed attempt may be followed by another. */
  isRepeatable: boolean;
}
