export * from './identifiers.js';
export * from './request_fingerprint.js';
export * from './backend.js';
export * from './server_life.js';
export * from './serving.js';
export * from './team.js';
