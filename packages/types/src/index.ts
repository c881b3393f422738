export * from './identifiers.js';
export * from './request_fingerprint.js';
export * from './backend.js';
export * from './server_incarnation.js';
export * from './suspect.js';
export * from './serving.js';
export * from './team.js';
