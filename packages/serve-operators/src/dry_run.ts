/** Evaluates a change without writing it. */
import {
  Configuration,
  type AgreedState,
  type ResolvedEvent,
} from '@mimosatack/agreed-state';
import {type BodyOf} from '@mimosatack/records';

/** An event whose resolved form the change would alter. */
export interface AffectedEvent {
  eventId: string;
  team: string;
  before: ResolvedEvent | null;
  after: ResolvedEvent | null;
}

/** The result of evaluating a change. */
export interface DryRun {
  isAccepted: boolean;
  /** Reasons for a rejection; empty when the change would be accepted. */
  faults: string[];
  /** The document version that the change was evaluated against. */
  expectedVersion: number;
  /** The resolved event; null unless the document is a valid event. */
  resolvedEvent: ResolvedEvent | null;
  /** Other events that the change would affect. */
  affectedEvents: AffectedEvent[];
}

/** Applies a change to a copy of the configuration by the fold's rules. */
export function dryRun(
  state: AgreedState,
  body: BodyOf<'put-document'>,
): DryRun {
  const {configuration} = state;
  const copy = Configuration.restore(configuration.toSnapshot());
  const outcome = copy.put(body, state.sequence + 1);
  const isAccepted = outcome.status === 'valid';
  return {
    isAccepted,
    faults: isAccepted ? [] : outcome.message.split('; '),
    expectedVersion: body.expectedVersion,
    resolvedEvent:
      isAccepted && body.kind === 'event'
        ? (copy.findEvent(body.id) ?? null)
        : null,
    affectedEvents: isAccepted
      ? listAffectedEvents(configuration, copy, body)
      : [],
  };
}

function listAffectedEvents(
  before: Configuration,
  after: Configuration,
  {kind, id}: BodyOf<'put-document'>,
): AffectedEvent[] {
  return after
    .listEvents()
    .filter(event => kind !== 'event' || event.eventId !== id)
    .filter(
      event => before.findEvent(event.eventId)?.revision !== event.revision,
    )
    .map(event => ({
      eventId: event.eventId,
      team: event.team,
      before: before.findEvent(event.eventId) ?? null,
      after: event,
    }));
}
