export * from './identifiers.js';
export * from './backend.js';
export * from './serving.js';
