export * from './ports.js';
export * from './controller.js';
export type { Environment } from './runtime.js';
