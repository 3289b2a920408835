/** The fold of tickets into the configuration, and snapshots of folds. */
package io.kumquatspindle.engine.config;
