export * from './identifiers.js';
export * from './backend.js';
