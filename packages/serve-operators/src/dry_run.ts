/** Says what a change would do, without writing it. */
import {
  Configuration,
  type AgreedState,
  type ResolvedEvent,
} from '@mimosatack/agreed-state';
import {type BodyOf} from '@mimosatack/records';

/** An event that a change would resolve differently. */
export interface AffectedEvent {
  eventId: string;
  team: string;
  before: ResolvedEvent | null;
  after: ResolvedEvent | null;
}

/** What a change would do. */
export interface DryRun {
  isAccepted: boolean;
  /** Why it would be refused; empty when it would be accepted. */
  faults: string[];
  /** The version that the change must name, and that it was tried against. */
  expectedVersion: number;
  /** The event that would come of it, when the document is an event. */
  resolvedEvent: ResolvedEvent | null;
  /** Events beside the document itself that would change with it. */
  affectedEvents: AffectedEvent[];
}

/** Tries a change on a copy of the configuration by the rules of the fold. */
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
    affectedEvents: isAccepted ? listAffected(configuration, copy, body) : [],
  };
}

function listAffected(
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
