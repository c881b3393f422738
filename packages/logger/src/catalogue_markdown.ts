/** Renders the event catalogue as Markdown. */
import {
  EVENT_AREAS,
  type EVENT_CATALOGUE,
  type EventArea,
  listEvents,
} from './catalogue.js';
import {type EventDefinition} from './definition.js';

const INTRODUCTION = `# Log events

Each line of the log is a JSON object. \`eventNumber\` and \`eventName\` tell
which event of this list it is, \`nodeName\` which node wrote it, and \`msg\` what
happened. A number keeps its meaning for ever, so alerts can rely on it. The
field \`error\` holds the kind of the error, its message and its remedy.

This page is written by \`npm run docs:events\`; change
\`packages/logger/src/events\` instead.`;

/** The text of docs/EVENTS.md. */
export function formatCatalogueAsMarkdown(): string {
  return [INTRODUCTION, ...EVENT_AREAS.map(formatArea)].join('\n\n') + '\n';
}

function formatArea(area: EventArea): string {
  const {title, firstNumber, lastNumber} = area;
  const events = listEvents().filter(
    event => event.number >= firstNumber && event.number <= lastNumber,
  );
  return [
    `## ${title} (${firstNumber} to ${lastNumber})`,
    ...events.map(formatEvent),
  ].join('\n\n');
}

function formatEvent(
  event: EventDefinition & {name: keyof typeof EVENT_CATALOGUE},
): string {
  const {number, name, level, message, fields, remedy} = event;
  const paragraphs = [
    `### ${number} ${name}`,
    `Level ${level}. ${message}`,
    Object.entries(fields).map(formatField).join('\n'),
    ...(remedy ? [`Remedy: ${remedy}`] : []),
  ];
  return paragraphs.join('\n\n');
}

function formatField([field, description]: [string, string]): string {
  return `- \`${field}\`: ${description}`;
}
