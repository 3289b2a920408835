/** Decides where models and adapters are loaded and unloaded. */
package io.kumquatspindle.engine.placement;
