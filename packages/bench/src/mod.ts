/** @module */
export {};
