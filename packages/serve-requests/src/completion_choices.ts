/**
 * Ranks the servers of a service by when they would complete a request. Takes effect from
 * the first slowdown figure of a server of the service.
 */
import {
  CompletionEstimate,
  CompletionRanking,
  type CompletionRankingOptions,
  type RequestEnd,
  type SentRequest,
  isSlowdownPercent,
} from '@mimosatack/estimate-completion';
import {type BackendServerEntry, type ServiceName} from '@mimosatack/types';
import {type ServerLoad} from './backend_dialect.js';
import {type AttemptResult, type ChosenServer} from './server_chooser.js';

interface RankedService {
  estimate: CompletionEstimate;
  ranking: CompletionRanking;
}

export class CompletionChoices {
  private readonly services = new Map<ServiceName, RankedService>();
  private readonly sent = new WeakMap<ChosenServer, SentRequest>();

  constructor(private readonly options: CompletionRankingOptions) {}

  /** Undefined where no server of the service has sent a figure. */
  findRanking(service: ServiceName): CompletionRanking | undefined {
    return this.services.get(service)?.ranking;
  }

  recordSent(choice: ChosenServer, nowMs: number): void {
    const {server} = choice;
    const estimate = this.services.get(server.service)?.estimate;
    if (estimate) this.sent.set(choice, estimate.recordSent(server, nowMs));
  }

  recordLoad(
    server: BackendServerEntry,
    load: ServerLoad,
    nowMs: number,
  ): void {
    const known = this.services.get(server.service);
    const {slowdownPercent} = load;
    const hasFigure =
      slowdownPercent !== null && isSlowdownPercent(slowdownPercent);
    if (!known && !hasFigure) return;
    const {estimate} = known ?? this.addService(server.service);
    estimate.recordLoad(server, load, nowMs);
  }

  /** @param isSuccess whether the response was complete and a success. */
  recordResult(
    choice: ChosenServer,
    result: AttemptResult,
    isSuccess: boolean,
    nowMs: number,
  ): void {
    const sent = this.sent.get(choice);
    if (!sent) return;
    this.sent.delete(choice);
    const end = toRequestEnd(result, isSuccess);
    this.services
      .get(choice.server.service)
      ?.estimate.recordEnd(sent, end, nowMs);
  }

  private addService(name: ServiceName): RankedService {
    const estimate = new CompletionEstimate();
    const ranking = new CompletionRanking(estimate, this.options);
    const added = {estimate, ranking};
    this.services.set(name, added);
    return added;
  }
}

function toRequestEnd(result: AttemptResult, isSuccess: boolean): RequestEnd {
  switch (result) {
    case 'answered':
      return isSuccess ? 'completed' : 'neutral';
    case 'not-taken':
    case 'failed':
    case 'unreachable':
      return 'failed';
    default:
      return 'neutral';
  }
}
