/**
 * The documents that operators publish. A change names the version that it
 * replaces; of two concurrent changes, only the first in the log is valid.
 */
import {
  type BodyOf,
  DOCUMENT_KINDS,
  type DocumentKind,
} from '@mimosatack/records';
import {type z} from 'zod';
import {type RecordOutcome, VALID, makeVoid} from '../outcome.js';
import {
  type EventContent,
  type ModelContent,
  type ServiceContent,
  type TeamContent,
  type TemplateContent,
  eventSchema,
  modelSchema,
  serviceSchema,
  teamSchema,
  templateSchema,
} from './document_schema.js';
import {
  type ResolvedEvent,
  type ResolveResult,
  describeIssues,
  resolveEvent,
} from './resolve_event.js';

export interface ContentByKind {
  team: TeamContent;
  model: ModelContent;
  service: ServiceContent;
  template: TemplateContent;
  event: EventContent;
}

/** The current version of a document. */
export interface Document<K extends DocumentKind = DocumentKind> {
  kind: K;
  id: string;
  version: number;
  /** Sequence number of the record that published this version. */
  sequence: number;
  content: ContentByKind[K];
}

/** A deleted document; versions continue if it is created again. */
interface Tombstone {
  key: string;
  version: number;
  sequence: number;
}

/** The serialized form of the configuration, for checkpoints. */
export interface ConfigurationSnapshot {
  documents: Document[];
  tombstones: Tombstone[];
  pinnedTemplates: [string, TemplateContent][];
  events: ResolvedEvent[];
}

const SCHEMAS: {[K in DocumentKind]: z.ZodType} = {
  team: teamSchema,
  model: modelSchema,
  service: serviceSchema,
  template: templateSchema,
  event: eventSchema,
};

/** All documents and the events resolved from them. */
export class Configuration {
  private readonly documents: Record<DocumentKind, Map<string, Document>> = {
    team: new Map(),
    model: new Map(),
    service: new Map(),
    template: new Map(),
    event: new Map(),
  };
  private readonly tombstones = new Map<string, Tombstone>();
  /** Contents of replaced template versions that events are pinned to. */
  private readonly pinnedTemplates = new Map<string, TemplateContent>();
  private readonly events = new Map<string, ResolvedEvent>();
  private changes = 0;

  static restore(snapshot: ConfigurationSnapshot): Configuration {
    const restored = new Configuration();
    snapshot.documents.forEach(document =>
      restored.documents[document.kind].set(document.id, document),
    );
    snapshot.tombstones.forEach(tombstone =>
      restored.tombstones.set(tombstone.key, tombstone),
    );
    snapshot.pinnedTemplates.forEach(([key, content]) =>
      restored.pinnedTemplates.set(key, content),
    );
    snapshot.events.forEach(event => restored.events.set(event.eventId, event));
    return restored;
  }

  toSnapshot(): ConfigurationSnapshot {
    return {
      documents: DOCUMENT_KINDS.flatMap(kind => [
        ...this.documents[kind].values(),
      ]),
      tombstones: [...this.tombstones.values()],
      pinnedTemplates: [...this.pinnedTemplates.entries()],
      events: [...this.events.values()],
    };
  }

  /**
   * Increases with every document change, so that derived indexes can detect
   * that they are stale. The count is not part of the replicated state.
   */
  get changeCount(): number {
    return this.changes;
  }

  find<K extends DocumentKind>(kind: K, id: string): Document<K> | undefined {
    return this.documents[kind].get(id) as Document<K> | undefined;
  }

  list<K extends DocumentKind>(kind: K): Document<K>[] {
    return [...this.documents[kind].values()] as Document<K>[];
  }

  findEvent(eventId: string): ResolvedEvent | undefined {
    return this.events.get(eventId);
  }

  listEvents(): ResolvedEvent[] {
    return [...this.events.values()];
  }

  /** The `expectedVersion` of the next change; 0 for an unknown document. */
  currentVersion(kind: DocumentKind, id: string): number {
    return (
      this.documents[kind].get(id)?.version ??
      this.tombstones.get(formatKey(kind, id))?.version ??
      0
    );
  }

  put(body: BodyOf<'put-document'>, sequence: number): RecordOutcome {
    const conflict = this.checkVersion(body);
    if (conflict) return conflict;
    const parsed = SCHEMAS[body.kind].safeParse(body.content);
    if (!parsed.success) {
      return makeVoid(
        'invalid-content',
        describeIssues(parsed.error).join('; '),
      );
    }
    const document = {
      kind: body.kind,
      id: body.id,
      version: body.expectedVersion + 1,
      sequence,
      content: parsed.data,
    } as Document;
    return this.publish(document, sequence);
  }

  delete(body: BodyOf<'delete-document'>, sequence: number): RecordOutcome {
    const key = formatKey(body.kind, body.id);
    const document = this.documents[body.kind].get(body.id);
    if (!document) {
      return makeVoid('unknown-reference', `There is no ${key}.`);
    }
    const conflict = this.checkVersion(body);
    if (conflict) return conflict;
    const users = this.listUsers(document);
    if (users.length > 0) {
      return makeVoid('in-use', `${key} is used by ${users.join(', ')}.`);
    }
    this.changes += 1;
    this.documents[body.kind].delete(body.id);
    this.tombstones.set(key, {
      key,
      version: body.expectedVersion + 1,
      sequence,
    });
    if (body.kind === 'event') this.events.delete(body.id);
    return VALID;
  }

  /** Drops tombstones that only records with a stale basis can conflict with. */
  dropTombstonesBefore(sequence: number): void {
    [...this.tombstones.values()]
      .filter(tombstone => tombstone.sequence < sequence)
      .forEach(tombstone => this.tombstones.delete(tombstone.key));
  }

  private checkVersion(body: {
    kind: DocumentKind;
    id: string;
    expectedVersion: number;
  }): RecordOutcome | null {
    const current = this.currentVersion(body.kind, body.id);
    if (current === body.expectedVersion) return null;
    const key = formatKey(body.kind, body.id);
    const recordSequence = this.documents[body.kind].get(body.id)?.sequence;
    return makeVoid(
      'version-conflict',
      `${key} is at version ${current}, not ${body.expectedVersion}` +
        (recordSequence === undefined
          ? '.'
          : `; record ${recordSequence} put it there.`),
    );
  }

  private publish(document: Document, sequence: number): RecordOutcome {
    const key = formatKey(document.kind, document.id);
    const missing = this.findMissingReference(document);
    if (missing) return makeVoid('unknown-reference', missing);
    const documents = this.documents[document.kind];
    const previous = documents.get(document.id);
    documents.set(document.id, document);
    const resolved = this.resolveAffected(document);
    const faults = resolved.flatMap(({eventId, result}) =>
      'faults' in result
        ? result.faults.map(fault => `event ${eventId}: ${fault}`)
        : [],
    );
    if (faults.length > 0) {
      if (previous) documents.set(document.id, previous);
      else documents.delete(document.id);
      return makeVoid('invalid-content', faults.join('; '));
    }
    this.changes += 1;
    this.tombstones.delete(key);
    this.keepPinnedTemplate(previous);
    resolved.forEach(({result}) => {
      if ('event' in result) this.storeResolved(result.event, sequence);
    });
    return VALID;
  }

  private findMissingReference(document: Document): string | null {
    if (document.kind !== 'template' && document.kind !== 'event') return null;
    const {team} = document.content as {team: string};
    if (!this.find('team', team)) {
      return `There is no team ${team}; publish it first.`;
    }
    if (document.kind === 'template') return null;
    const event = document.content as EventContent;
    const template = this.find('template', event.template);
    if (!template) {
      return `There is no template ${event.template}; publish it first.`;
    }
    return template.content.team === event.team
      ? null
      : `Template ${event.template} belongs to another team.`;
  }

  private resolveAffected(
    document: Document,
  ): {eventId: string; result: ResolveResult}[] {
    return this.listAffectedEvents(document).map(event => ({
      eventId: event.id,
      result: this.resolve(event),
    }));
  }

  private listAffectedEvents(document: Document): Document<'event'>[] {
    switch (document.kind) {
      case 'event':
        return [document as Document<'event'>];
      case 'template':
        return this.list('event').filter(
          event => event.content.template === document.id,
        );
      case 'model':
        return this.list('event').filter(event =>
          this.events
            .get(event.id)
            ?.needs.some(need => need.model === document.id),
        );
      default:
        return [];
    }
  }

  private resolve(event: Document<'event'>): ResolveResult {
    const {template: name, templateVersion} = event.content;
    const latest = this.find('template', name) as Document<'template'>;
    const version = templateVersion ?? latest.version;
    const content =
      version === latest.version
        ? latest.content
        : this.pinnedTemplates.get(formatPinKey(name, version));
    if (!content) {
      return {
        faults: [
          `templateVersion: version ${version} of ${name} is not kept; ` +
            `use ${latest.version}`,
        ],
      };
    }
    return resolveEvent(event.id, event.content, content, version, {
      findModel: model => this.find('model', model)?.content,
    });
  }

  /** Keeps the replaced version of a template if an event is pinned to it. */
  private keepPinnedTemplate(previous: Document | undefined): void {
    if (previous?.kind !== 'template') return;
    const isPinned = this.list('event').some(
      event =>
        event.content.template === previous.id &&
        event.content.templateVersion === previous.version,
    );
    if (!isPinned) return;
    this.pinnedTemplates.set(
      formatPinKey(previous.id, previous.version),
      previous.content as TemplateContent,
    );
  }

  private storeResolved(
    event: Omit<ResolvedEvent, 'revision'>,
    sequence: number,
  ): void {
    const previous = this.events.get(event.eventId);
    const isSame =
      previous !== undefined &&
      JSON.stringify({...previous, revision: 0}) ===
        JSON.stringify({...event, revision: 0});
    if (isSame) return;
    this.events.set(event.eventId, {...event, revision: sequence});
  }

  private listUsers(document: Document): string[] {
    switch (document.kind) {
      case 'template':
        return this.list('event')
          .filter(event => event.content.template === document.id)
          .map(event => `event ${event.id}`);
      case 'model':
        return this.listEvents()
          .filter(event => event.needs.some(n => n.model === document.id))
          .map(event => `event ${event.eventId}`);
      case 'team':
        return [...this.list('template'), ...this.list('event')]
          .filter(user => user.content.team === document.id)
          .map(user => `${user.kind} ${user.id}`);
      default:
        return [];
    }
  }
}

function formatKey(kind: DocumentKind, id: string): string {
  return `${kind} ${id}`;
}

function formatPinKey(template: string, version: number): string {
  return `${template}@${version}`;
}
